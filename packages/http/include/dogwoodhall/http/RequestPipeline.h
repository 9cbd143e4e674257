#pragma once

#include "dogwoodhall/core/StrongId.h"
#include "dogwoodhall/exchange/Head.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

namespace dogwoodhall {

// Position of a request on its connection.
using RequestNumber = StrongId<struct RequestNumberTag, std::uint64_t>;

// True if the request may be served before those sent before it have been answered, as far as its head shows. Whether
// its route is idempotent is up to its handler.
bool canRunAhead(const RequestHead&);

// The requests in progress on one connection, in the order in which they were sent. Decides whether the next one may be
// read, whose answer may be written, and which requests count as not read since an answer before them closes the
// connection. Has no I/O and no clock.
class RequestPipeline {
public:
    enum class Ending {
        Answered, // The answer has been written completely.
        Unanswered, // Not at all, or not completely: the connection closes in its place.
    };

    // At most `limit` requests are in progress. At least one is allowed.
    explicit RequestPipeline(std::size_t limit = 1);

    // True if a further request may be added.
    bool mayReadNext() const;
    // A request has been read. `keepsOpen` is false if its sender asks to close the connection after its answer.
    RequestNumber add(bool keepsOpen);

    // True if all requests before this one have been answered, so that its answer may be written.
    bool isTurn(RequestNumber) const;
    // True if the request counts as not read: an answer before it closes the connection.
    bool isDropped(RequestNumber) const;
    // The answer of the request whose turn it is begins. Returns false if the connection closes after it.
    bool beginAnswer(RequestNumber);

    // The request's handler has ended. Returns the requests that count as not read from now on.
    std::vector<RequestNumber> end(RequestNumber, Ending);

    // No further request is read, and the answer of the last one in progress closes the connection if it has not begun.
    void stop() { m_isStopping = true; }

    // True if an answer closes the connection, or closed it.
    bool isClosing() const { return m_isClosing; }
    // Requests whose handlers have not ended, or that wait for their turn to close the connection.
    bool empty() const { return m_requests.empty(); }
    std::size_t size() const { return m_requests.size(); }
    // The request whose turn it is. Must not be empty.
    RequestNumber first() const { return m_requests.front().number; }

private:
    struct Request {
        RequestNumber number;
        bool hasEnded = false;
        bool isDropped = false;
    };

    const Request* find(RequestNumber) const;
    std::vector<RequestNumber> closeAfter(RequestNumber);

    std::size_t m_limit;
    std::deque<Request> m_requests;
    std::uint64_t m_nextNumber = 1;
    bool m_isStopping = false;
    bool m_isClosing = false;
    RequestNumber m_closesAfter { 0 }; // Of the earliest closing answer, if m_isClosing.
};

} // namespace dogwoodhall
