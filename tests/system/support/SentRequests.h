#pragma once

#include "Cluster.h"

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace dogwoodhall {

// Requests of one test case, of which every second one is not idempotent. check() verifies what must hold under any
// fault: each request gets a complete response of its own, each failure states an outcome, a request reported as
// `not-run` did not run, and a request that is not idempotent ran at most once.
class SentRequests {
public:
    // The row's name appears in failure messages; `fields` holds the header lines of each request, with CRLF.
    explicit SentRequests(const char* row, std::string fields = {})
        : m_row(row)
        , m_fields(std::move(fields))
    {
    }

    void send(const DaemonProcess&, const std::string& target, std::size_t count, bool mayFailGet = false,
        bool mayFailPost = false);
    // Reads all outstanding responses. Returns how many of them have status 200.
    std::size_t readAll();
    // Responses with a status other than 200 and an outcome other than not-run.
    std::size_t failuresWithoutProof() const;
    // Fails the test if a request violates one of these rules, or failed without being allowed to.
    void check(const Cluster&) const;

private:
    struct Sent {
        std::string id;
        std::string method;
        std::string expected; // End of the response's body.
        bool mayFail;
        std::unique_ptr<TestClient> client;
        Response response;
    };

    void checkOne(const Cluster&, const Sent&) const;

    const char* m_row;
    std::string m_fields;
    std::vector<Sent> m_sent;
};

} // namespace dogwoodhall
