#pragma once

#include "dogwoodhall/core/Units.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace dogwoodhall {

// Limits the retries and hedges of all members together: in any window at most `ratio` of the requests plus `slack`.
struct RetryLimits {
    Fraction ratio { 0.2 };
    Duration window = std::chrono::seconds(10);
    double slack = 0;

    friend bool operator==(const RetryLimits&, const RetryLimits&) = default;
};

// How a slack that the whole fleet may spend is divided.
struct SlackShare {
    std::size_t holders = 1; // Each may spend an equal part.
    // Since when no further holder has become known; empty while the holders cannot be known. A holder spends nothing
    // until one window later: its number of holders may be too low, or an earlier run of its process has spent the
    // part.
    std::optional<TimePoint> stableSince = TimePoint();

    friend bool operator==(const SlackShare&, const SlackShare&) = default;
};

// This member's share of the limit for one service, computed without coordination: the ratio of its own requests in the
// last window, which holds whatever the members know of each other, and an equal part of the slack while the number of
// members is known.
class RetryAllowance {
public:
    explicit RetryAllowance(RetryLimits);

    void setSlackShare(const SlackShare& share) { m_share = share; }

    void requestArrived(TimePoint now);
    // Takes one retry; returns false if none is left.
    bool tryTake(TimePoint now);
    // Takes one for a hedge of a request that may be answered late. Retries of failed requests are worth more: part of
    // the allowance is reserved for them, and no hedge is sent for a while after a retry was denied.
    bool tryTakeForHedge(TimePoint now);
    bool hasRoomForHedge(TimePoint now);
    double available(TimePoint now);

    struct Balance {
        double allowed = 0;
        double taken = 0;
        double slack = 0; // Part of `allowed`.
    };
    Balance balance(TimePoint now) const;

    // Usable part of the ratio. A window that contains a retry may contain fewer of the requests than the window before
    // the retry did; at least three quarters if they arrive steadily.
    static constexpr double usableRatio = 0.75;
    // Usable part of the slack. The rest is for members that are unknown to this one.
    static constexpr double usableSlack = 0.8;
    // Part of the whole allowance that is reserved for retries.
    static constexpr double retryReserve = 0.25;
    static constexpr Duration hedgePauseAfterDenial = std::chrono::seconds(1);

private:
    struct Slice {
        std::int64_t number = -1; // Of the time slice that the counts belong to.
        std::uint32_t requests = 0;
        std::uint32_t taken = 0;
    };
    static constexpr std::size_t slices = 50; // Per window; short steps relative to it.
    // Retries count for a tenth longer than the window. Those that a slow process or link has delayed by up to that
    // time arrive in one window with later ones.
    static constexpr std::size_t delaySlices = slices / 10;

    Slice& sliceAt(TimePoint now);
    std::int64_t numberAt(TimePoint now) const;
    double slackAt(TimePoint now) const;

    RetryLimits m_limits;
    SlackShare m_share;
    std::optional<TimePoint> m_deniedAt; // Last retry that was denied.
    std::array<Slice, slices + delaySlices> m_slices {};
};

} // namespace dogwoodhall
