#pragma once

#include "Cluster.h"

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace dogwoodhall {

// Requests of one test case, every second one not idempotent, and what must hold of each of them whatever fails: a
// whole answer of its own, an outcome with every failure, no run after `not-run`, at most one run unless idempotent.
class SentRequests {
public:
    // The row is named in failures; the fields are those of each request, in whole lines.
    explicit SentRequests(const char* row, std::string fields = {})
        : m_row(row)
        , m_fields(std::move(fields))
    {
    }

    void send(const DaemonProcess&, const std::string& target, std::size_t count, bool mayFailGet = false,
        bool mayFailPost = false);
    // Gives the number of answers with status 200 among those read now.
    std::size_t readAll();
    // Answers other than status 200 that do not say not-run.
    std::size_t unproven() const;
    // Ends the test where a request breaks a rule, or has failed and was not allowed to.
    void check(const Cluster&) const;

private:
    struct Sent {
        std::string id;
        std::string method;
        std::string expected; // End of the answer's body.
        bool mayFail;
        std::unique_ptr<TestClient> client;
        Answer answer;
    };

    void checkOne(const Cluster&, const Sent&) const;

    const char* m_row;
    std::string m_fields;
    std::vector<Sent> m_sent;
};

} // namespace dogwoodhall
