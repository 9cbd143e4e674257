#pragma once

#include "dogwoodhall/core/DecisionContext.h"
#include "dogwoodhall/core/ErrorKind.h"
#include "dogwoodhall/request/Ticket.h"

#include <chrono>
#include <deque>
#include <string>
#include <tl/expected.hpp>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace dogwoodhall {

// A response stored for repeats of a request.
struct StoredAnswer {
    unsigned status = 0;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    ByteCount size() const;
    friend bool operator==(const StoredAnswer&, const StoredAnswer&) = default;
};

struct TicketLimits {
    ByteCount memory { 16ULL * 1024 * 1024 };
    // Memory reserved for each ticket whose request has not ended; also the size of the largest response that is
    // stored.
    ByteCount answerReserve { 8 * 1024 };
    Duration lifetime = std::chrono::hours(1); // Counted from issue; later repeats are answered as unknown.
};

// The request may run; finish(), finishUnknown() or forget() must follow.
struct RunTicket { };
// Respond to the repeat with the stored response.
struct ReplayAnswer {
    StoredAnswer answer;
};
// Respond with this error; nothing runs.
struct RejectTicket {
    ErrorKind kind;
};
using TicketDecision = std::variant<RunTicket, ReplayAnswer, RejectTicket>;

// Stores the tickets issued by this process and the state of their requests. The request of a ticket runs once; repeats
// get the stored response. Memory is bounded: when it is full, no new ticket is issued.
class TicketLedger {
public:
    TicketLedger(MemberId, Incarnation, TicketLimits);

    tl::expected<Ticket, ErrorKind> issue(DecisionContext);

    // `fingerprint` identifies the request; a ticket used with two different requests is denied.
    TicketDecision begin(const Ticket&, std::uint64_t fingerprint, DecisionContext);

    // The request ran and was answered. A response larger than the reserve is not stored: repeats are answered as
    // unknown.
    void finish(const Ticket&, StoredAnswer);
    // It is not known whether the request ran; repeats are answered as unknown.
    void finishUnknown(const Ticket&);
    // The request is proven not to have run: the ticket can be used again.
    void forget(const Ticket&);

    std::size_t size() const { return m_entries.size(); }
    ByteCount memoryUsed() const { return m_memoryUsed; }

private:
    enum class State { Issued, Running, Answered, Unknown };
    struct Entry {
        State state = State::Issued;
        std::uint64_t fingerprint = 0;
        StoredAnswer answer;
        ByteCount charged;
    };

    Entry* find(const Ticket&);
    void charge(Entry&, ByteCount);
    void removeExpired(TimePoint now);

    MemberId m_member;
    Incarnation m_incarnation;
    TicketLimits m_limits;
    std::unordered_map<TicketSerial, Entry> m_entries;
    std::deque<std::pair<TimePoint, TicketSerial>> m_expiries; // Ordered by time.
    ByteCount m_memoryUsed;
};

} // namespace dogwoodhall
