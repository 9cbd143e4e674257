#pragma once

#include "dogwoodhall/core/Units.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace dogwoodhall {

// A bound on the retries and copies of all members together: in any window at most `ratio` of the requests, and `slack`
// beside.
struct RetryLimits {
    Fraction ratio { 0.2 };
    Duration window = std::chrono::seconds(10);
    double slack = 0;

    friend bool operator==(const RetryLimits&, const RetryLimits&) = default;
};

// This member's part of the bound for one service, kept without a message: the ratio of its own requests in the last
// window, and a part of the slack that depends on the members that may be alive. A member that has just started does
// not know what its earlier run has spent: its part of the slack grows over the first window.
class RetryAllowance {
public:
    explicit RetryAllowance(RetryLimits);

    // Members among which the slack is divided, this one included.
    void setMembers(std::size_t members) { m_members = members; }

    void requestArrived(TimePoint now);
    // Takes one retry; false where none is left.
    bool tryTake(TimePoint now);
    // Takes one for a copy of a request that may be answered late. A retry of one that has failed is worth more: a part
    // is kept for those, and no copy is sent for a while after one of them got none.
    bool tryTakeForCopy(TimePoint now);
    bool hasRoomForCopy(TimePoint now);
    double available(TimePoint now);

    // Of the ratio that is used: the window in which a retry is judged may hold fewer of the requests than the window
    // before it did; at least three quarters where they arrive steadily.
    static constexpr double ratioUsed = 0.75;
    // Of the slack that is used. The rest is for members that this one has not heard of.
    static constexpr double slackUsed = 0.8;
    // Of the whole allowance, kept for retries.
    static constexpr double keptForRetries = 0.25;
    static constexpr Duration noCopiesAfterDenial = std::chrono::seconds(1);

private:
    struct Slice {
        std::int64_t number = -1; // Of the slice of time that the counts belong to.
        std::uint32_t requests = 0;
        std::uint32_t taken = 0;
    };
    static constexpr std::size_t slices = 50; // A window, in steps that are short against it.

    struct Balance {
        double allowed = 0;
        double taken = 0;
    };

    Balance balance(TimePoint now);
    Slice& sliceAt(TimePoint now);
    std::int64_t numberAt(TimePoint now) const;

    RetryLimits m_limits;
    std::size_t m_members = 1;
    std::optional<TimePoint> m_startedAt; // The first use.
    std::optional<TimePoint> m_deniedAt; // The last retry that got none.
    std::array<Slice, slices> m_slices {};
};

} // namespace dogwoodhall
