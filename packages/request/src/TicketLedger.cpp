#include "dogwoodhall/request/TicketLedger.h"

namespace dogwoodhall {

namespace {

// Size of the entry, its hash node and its expiry.
constexpr ByteCount entryOverhead { 256 };

} // namespace

ByteCount StoredAnswer::size() const
{
    std::uint64_t n = body.size();
    for (const auto& [name, value] : fields)
        n += name.size() + value.size();
    return ByteCount(n);
}

TicketLedger::TicketLedger(MemberId member, Incarnation incarnation, TicketLimits limits)
    : m_member(std::move(member))
    , m_incarnation(incarnation)
    , m_limits(limits)
{
}

tl::expected<Ticket, ErrorKind> TicketLedger::issue(DecisionContext context)
{
    removeExpired(context.now);
    const ByteCount needed = entryOverhead + m_limits.answerReserve;
    if (m_memoryUsed + needed > m_limits.memory)
        return tl::unexpected(ErrorKind::TicketStoreFull);
    // Random, so that a caller cannot guess the ticket of another.
    TicketSerial serial(context.random());
    while (m_entries.contains(serial))
        serial = TicketSerial(context.random());
    charge(m_entries[serial], needed);
    m_expiries.emplace_back(context.now + m_limits.lifetime, serial);
    return Ticket { m_member, m_incarnation, serial };
}

TicketDecision TicketLedger::begin(const Ticket& ticket, std::uint64_t fingerprint, DecisionContext context)
{
    removeExpired(context.now);
    Entry* entry = find(ticket);
    if (!entry)
        return RejectTicket { ErrorKind::TicketUnknown };
    if (entry->state != State::Issued && entry->fingerprint != fingerprint)
        return RejectTicket { ErrorKind::TicketMisused };
    switch (entry->state) {
    case State::Issued:
        entry->state = State::Running;
        entry->fingerprint = fingerprint;
        return RunTicket {};
    case State::Running:
        return RejectTicket { ErrorKind::TicketInProgress };
    case State::Answered:
        return ReplayAnswer { entry->answer };
    case State::Unknown:
        break;
    }
    return RejectTicket { ErrorKind::TicketUnknown };
}

void TicketLedger::finish(const Ticket& ticket, StoredAnswer answer)
{
    Entry* entry = find(ticket);
    if (!entry || entry->state != State::Running)
        return;
    const ByteCount size = answer.size();
    if (size > m_limits.answerReserve) {
        finishUnknown(ticket);
        return;
    }
    entry->state = State::Answered;
    entry->answer = std::move(answer);
    charge(*entry, entryOverhead + size);
}

void TicketLedger::finishUnknown(const Ticket& ticket)
{
    Entry* entry = find(ticket);
    if (!entry || entry->state != State::Running)
        return;
    entry->state = State::Unknown;
    charge(*entry, entryOverhead);
}

void TicketLedger::forget(const Ticket& ticket)
{
    Entry* entry = find(ticket);
    if (entry && entry->state == State::Running)
        entry->state = State::Issued;
}

TicketLedger::Entry* TicketLedger::find(const Ticket& ticket)
{
    if (ticket.issuer != m_member || ticket.incarnation != m_incarnation)
        return nullptr;
    auto it = m_entries.find(ticket.serial);
    return it == m_entries.end() ? nullptr : &it->second;
}

void TicketLedger::charge(Entry& entry, ByteCount size)
{
    m_memoryUsed = m_memoryUsed - entry.charged + size;
    entry.charged = size;
}

void TicketLedger::removeExpired(TimePoint now)
{
    while (!m_expiries.empty() && m_expiries.front().first <= now) {
        auto it = m_entries.find(m_expiries.front().second);
        // Keeps the entry of a running request, so that a repeat cannot run concurrently.
        if (it != m_entries.end() && it->second.state == State::Running) {
            m_expiries.emplace_back(now + m_limits.lifetime, it->first);
        } else if (it != m_entries.end()) {
            charge(it->second, ByteCount(0));
            m_entries.erase(it);
        }
        m_expiries.pop_front();
    }
}

} // namespace dogwoodhall
