// The part of Fleet that exchanges records.
#include "dogwoodhall/fleet/Fleet.h"

#include <utility>

namespace dogwoodhall {

namespace {

// A member that has not ended an exchange for this long may be suspended.
constexpr Duration stalledAfter = std::chrono::milliseconds(300);

} // namespace

std::vector<FleetAction> Fleet::pushRecords(Revision before, TimePoint now)
{
    std::vector<FleetAction> actions;
    observe(now, actions);
    observeRecords(now);
    std::vector<MemberId> receivers;
    for (const auto* tracked : views().local) {
        if (tracked->hasRun())
            receivers.push_back(tracked->member.id);
    }
    pushTo(receivers, before, now, actions);
    reportChange(actions);
    return actions;
}

Revision Fleet::observeRecords(TimePoint now)
{
    const Revision highest = m_hooks.digest().highest;
    if (highest.era() > m_era) {
        m_era = highest.era();
        m_eraSeenAt = now;
    }
    m_records.observe(highest, now);
    return highest;
}

RecordReceiver Fleet::receiverOf(const TrackedMember& tracked, TimePoint now) const
{
    // A member that has just started lacks the records that it would have to forward.
    constexpr Duration minRunTime = std::chrono::seconds(1);
    const auto exchange = m_exchanges.find(tracked.member.id);
    const bool isStalled = exchange != m_exchanges.end() && now - exchange->second >= stalledAfter;
    const bool canRelay = tracked.member.relaysRecords && tracked.isActive() && tracked.failures == 0 && !isStalled
        && now - tracked.runFirstSeenAt >= minRunTime;
    return { tracked.member.id, tracked.member.linkCapacityPerSecond, canRelay };
}

// Relays that do not answer get no more time for the members to which they would forward records.
void Fleet::takeBackStalled(TimePoint now, std::vector<FleetAction>& actions)
{
    std::vector<RecordDelivery> deliveries;
    for (const auto& [id, startedAt] : m_exchanges) {
        if (now - startedAt < stalledAfter)
            continue;
        if (auto delivery = m_records.takeBackRelayTo(id))
            deliveries.push_back(std::move(*delivery));
    }
    for (const auto& delivery : deliveries)
        pushTo(delivery.relayTo, delivery.after, now, actions);
}

// Whether the peer holds all that has had the time to reach it. A data centre that cannot read the platform has no
// other source, and so gets changes from others as early as from its own members.
bool Fleet::hasArrivedAt(const Member& peer, Revision theirs, TimePoint now) const
{
    const bool isEarly = isLocal(peer) || !peer.canReadPlatform || !m_self.canReadPlatform;
    return theirs >= m_records.arrivedElsewhere(isEarly, now);
}

void Fleet::relay(const GossipMessage& message, TimePoint now, std::vector<FleetAction>& actions)
{
    std::vector<MemberId> receivers;
    for (const auto& claim : message.relayTo) {
        if (claim.id == m_self.id)
            continue;
        merge(claim, now);
        receivers.push_back(claim.id);
    }
    pushTo(receivers, *message.recordsAfter, now, actions);
}

void Fleet::pushTo(std::span<const MemberId> ids, Revision after, TimePoint now, std::vector<FleetAction>& actions)
{
    std::vector<RecordReceiver> receivers;
    for (const auto& id : ids) {
        const auto* tracked = m_table.find(id);
        if (tracked && isLocal(tracked->member))
            receivers.push_back(receiverOf(*tracked, now));
    }
    for (auto& [relay, relayTo] : m_records.branches(std::move(receivers))) {
        m_records.add(relay, { after, std::move(relayTo) });
        startExchange(m_table.find(relay), now, actions);
    }
}

void Fleet::receiveRecords(const GossipMessage& message, TimePoint now, std::vector<FleetAction>& actions)
{
    const Revision held = observeRecords(now);
    const bool isInSequence = !message.recordsAfter || *message.recordsAfter <= held;
    if (!message.records.empty() && isInSequence)
        actions.emplace_back(OfferRecords { message.sender.id, message.records,
            message.recordsAfter ? std::optional(message.configuration.highest) : std::nullopt });
    if (!message.records.empty() && message.recordsAfter && isInSequence)
        relay(message, now, actions);
}

// Sends the next records at once if the peer has accepted the last ones, needs earlier ones first, or new records
// arrived while the exchange was in flight. A peer that has made no progress gets them in a later period.
void Fleet::continueRecordTransfer(const GossipMessage& reply, TimePoint now, std::vector<FleetAction>& actions)
{
    const auto& id = reply.sender.id;
    const auto theirs = reply.configuration.highest;
    const bool isBehind = theirs < m_hooks.digest().highest;
    auto due = m_records.takeDue(id);
    if (const auto sent = m_records.requestEnded(id); sent && isBehind && sent->after != theirs) {
        due = due.value_or(RecordDelivery { sent->after, {} });
        due->merge(*sent);
    }
    // A relay that lacks earlier records would forward those too, which the other members hold.
    if (due && (!isBehind || theirs < due->after))
        pushTo(std::exchange(due->relayTo, {}), due->after, now, actions);
    if (due && isBehind) {
        m_records.add(id, { theirs, std::move(due->relayTo) });
        startExchange(m_table.find(id), now, actions);
    }
    const bool hasMore
        = reply.recordsAfter && !reply.records.empty() && reply.records.back().revision < reply.configuration.highest;
    if (hasMore)
        startExchange(m_table.find(id), now, actions);
}

void Fleet::recordsNotSent(const MemberId& id) { m_records.deferRecords(id); }

} // namespace dogwoodhall
