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

// An answer kept for repeats of a request.
struct StoredAnswer {
    unsigned status = 0;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    ByteCount size() const;
    friend bool operator==(const StoredAnswer&, const StoredAnswer&) = default;
};

struct TicketLimits {
    ByteCount memory { 16ULL * 1024 * 1024 };
    // Memory set aside for each ticket whose request has not ended; also the largest answer that is kept.
    ByteCount answerReserve { 8 * 1024 };
    Duration lifetime = std::chrono::hours(1); // From issue; later repeats are answered as unknown.
};

// The request may run now; finish() or forget() must follow.
struct RunTicket { };
// Answer the repeat with this.
struct ReplayAnswer {
    StoredAnswer answer;
};
// Answer the caller with this error; nothing runs.
struct DenyTicket {
    ErrorKind kind;
};
using TicketDecision = std::variant<RunTicket, ReplayAnswer, DenyTicket>;

// The tickets that this process issued, and what became of their requests. A ticket's request is let through once;
// repeats get the kept answer. Memory is bounded: when it is full, no new ticket is issued.
class TicketLedger {
public:
    TicketLedger(MemberId, Incarnation, TicketLimits);

    tl::expected<Ticket, ErrorKind> issue(DecisionContext);

    // `fingerprint` describes the request; a ticket used with two different requests is denied.
    TicketDecision begin(const Ticket&, std::uint64_t fingerprint, DecisionContext);

    // The request ran and was answered. An answer larger than the reserve is not kept: repeats are answered unknown.
    void finish(const Ticket&, StoredAnswer);
    // Whether the request ran is not known; repeats are answered unknown.
    void finishUnknown(const Ticket&);
    // Proved that the request did not run: the ticket can be used again.
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
    std::deque<std::pair<TimePoint, TicketSerial>> m_expiries; // In order of time.
    ByteCount m_memoryUsed;
};

} // namespace dogwoodhall
