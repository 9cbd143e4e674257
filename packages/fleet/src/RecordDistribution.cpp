#include "dogwoodhall/fleet/RecordDistribution.h"

#include <algorithm>
#include <tuple>

namespace dogwoodhall {

namespace {

void mergeInto(std::map<MemberId, RecordDelivery>& deliveries, const MemberId& peer, const RecordDelivery& delivery)
{
    const auto [it, isNew] = deliveries.try_emplace(peer, delivery);
    if (!isNew)
        it->second.merge(delivery);
}

std::optional<RecordDelivery> extract(std::map<MemberId, RecordDelivery>& deliveries, const MemberId& peer)
{
    auto node = deliveries.extract(peer);
    return node ? std::optional(std::move(node.mapped())) : std::nullopt;
}

} // namespace

void RecordDelivery::merge(const RecordDelivery& other)
{
    after = std::min(after, other.after);
    for (const auto& id : other.relayTo) {
        if (std::find(relayTo.begin(), relayTo.end(), id) == relayTo.end())
            relayTo.push_back(id);
    }
}

void RecordDistribution::observe(Revision highest, TimePoint now)
{
    if (m_limits.arrivalTime == Duration::zero() && m_limits.remoteArrivalTime == Duration::zero()) {
        m_arrived = highest;
        return;
    }
    const Duration longest = std::max(m_limits.arrivalTime, m_limits.remoteArrivalTime);
    while (!m_arrivals.empty() && now - m_arrivals.front().at >= longest) {
        m_arrived = m_arrivals.front().highest;
        m_arrivals.pop_front();
    }
    if (highest > (m_arrivals.empty() ? m_arrived : m_arrivals.back().highest))
        m_arrivals.push_back({ highest, now });
}

Revision RecordDistribution::arrivedElsewhere(bool isLocal, TimePoint now) const
{
    Revision arrived = m_arrived;
    const Duration time = isLocal ? m_limits.arrivalTime : m_limits.remoteArrivalTime;
    for (const auto& arrival : m_arrivals) {
        if (now - arrival.at < time)
            break;
        arrived = arrival.highest;
    }
    return arrived;
}

std::vector<std::pair<MemberId, std::vector<MemberId>>> RecordDistribution::branches(
    std::vector<RecordReceiver> receivers) const
{
    std::stable_sort(receivers.begin(), receivers.end(), [](const RecordReceiver& a, const RecordReceiver& b) {
        return std::tie(a.canRelay, a.linkCapacityPerSecond) > std::tie(b.canRelay, b.linkCapacityPerSecond);
    });
    const auto relays = static_cast<std::size_t>(
        std::count_if(receivers.begin(), receivers.end(), [](const RecordReceiver& it) { return it.canRelay; }));
    const std::size_t direct = relays == 0 || receivers.size() <= m_limits.maxBranches
        ? receivers.size()
        : std::min(relays, m_limits.maxBranches);
    std::vector<std::pair<MemberId, std::vector<MemberId>>> result;
    for (std::size_t n = 0; n < receivers.size(); ++n) {
        if (n < direct)
            result.emplace_back(receivers[n].id, std::vector<MemberId> {});
        else
            result[n % direct].second.push_back(receivers[n].id);
    }
    return result;
}

void RecordDistribution::add(const MemberId& peer, const RecordDelivery& delivery) { mergeInto(m_due, peer, delivery); }

std::optional<RecordDelivery> RecordDistribution::takeDue(const MemberId& peer) { return extract(m_due, peer); }

std::optional<RecordDelivery> RecordDistribution::takeForRequest(const MemberId& peer)
{
    auto delivery = extract(m_due, peer);
    if (delivery)
        m_sent[peer] = *delivery;
    return delivery;
}

std::optional<RecordDelivery> RecordDistribution::takeForReply(const MemberId& peer)
{
    const auto it = m_due.find(peer);
    if (it == m_due.end() || !it->second.relayTo.empty())
        return std::nullopt;
    return extract(m_due, peer);
}

std::optional<RecordDelivery> RecordDistribution::requestEnded(const MemberId& peer) { return extract(m_sent, peer); }

std::optional<RecordDelivery> RecordDistribution::takeBackRelayTo(const MemberId& peer)
{
    const auto it = m_sent.find(peer);
    if (it == m_sent.end() || it->second.relayTo.empty())
        return std::nullopt;
    return RecordDelivery { it->second.after, std::exchange(it->second.relayTo, {}) };
}

void RecordDistribution::requestNotSent(const MemberId& peer)
{
    if (const auto unsent = extract(m_sent, peer))
        add(peer, *unsent);
}

void RecordDistribution::deferRecords(const MemberId& peer)
{
    for (auto* deliveries : { &m_sent, &m_due }) {
        if (const auto unsent = extract(*deliveries, peer))
            mergeInto(m_deferred, peer, *unsent);
    }
}

std::vector<MemberId> RecordDistribution::takeDeferred()
{
    std::vector<MemberId> peers;
    for (const auto& [peer, delivery] : m_deferred) {
        add(peer, delivery);
        peers.push_back(peer);
    }
    m_deferred.clear();
    return peers;
}

RecordDelivery RecordDistribution::cancel(const MemberId& peer)
{
    RecordDelivery canceled;
    for (auto* deliveries : { &m_due, &m_sent, &m_deferred }) {
        const auto delivery = extract(*deliveries, peer);
        if (delivery && !delivery->relayTo.empty()) {
            if (canceled.relayTo.empty())
                canceled.after = delivery->after;
            canceled.merge(*delivery);
        }
    }
    return canceled;
}

void RecordDistribution::clear()
{
    m_due.clear();
    m_deferred.clear();
}

} // namespace dogwoodhall
