#pragma once

#include "dogwoodhall/core/Ids.h"
#include "dogwoodhall/core/Units.h"
#include "dogwoodhall/core/WorkClass.h"

#include <list>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace dogwoodhall {

struct LongWorkLimits {
    // Work is classified as long from this multiple of the service's typical duration, and as short again below half of
    // it. The hysteresis keeps work near the limit from changing its class with each request.
    double longFactor = 8;
    // Work with responses of this size is long regardless of its duration, since a slow caller would hold the slot for
    // longer.
    ByteCount longBytes { 4'000'000 };
    unsigned minSamples = 3;
    std::size_t prefixSegments = 2; // Leading path segments that distinguish kinds of work.
    std::size_t maxKeys = 4096; // About 200 bytes each; the least recently used is evicted.
};

// Classifies requests as long or short work: by the declaration of their rule, or else by the measured durations and
// sizes of earlier requests with the same service, rule and path prefix. Unknown work is short. One instance per
// process; the number of services is not limited, since they are few and declared.
class LongWorkClassifier {
public:
    explicit LongWorkClassifier(LongWorkLimits limits = {});
    // Not copyable: the index of a copy would refer to entries of the original.
    LongWorkClassifier(const LongWorkClassifier&) = delete;
    LongWorkClassifier& operator=(const LongWorkClassifier&) = delete;
    LongWorkClassifier(LongWorkClassifier&&) = default;
    LongWorkClassifier& operator=(LongWorkClassifier&&) = default;

    WorkClass classify(std::optional<WorkClass> declared, const ServiceId&, const RuleId&, std::string_view path);
    // `duration` is the time at the endpoint without waiting; `bytes` is the length of the response body.
    void record(const ServiceId&, const RuleId&, std::string_view path, Duration, ByteCount);

    std::size_t keys() const { return m_entries.size(); }

private:
    struct Entry {
        std::string key;
        unsigned samples = 0;
        double meanSeconds = 0;
        double meanBytes = 0;
        bool isLong = false;
    };
    using Entries = std::list<Entry>; // Most recently used first.

    std::string keyFor(const ServiceId&, const RuleId&, std::string_view path) const;
    Entry& entryFor(std::string key);

    LongWorkLimits m_limits;
    Entries m_entries;
    std::unordered_map<std::string_view, Entries::iterator> m_index; // The keys are views of Entry::key.
    // Moving average of the logarithm of seconds, which is insensitive to a few long requests.
    std::unordered_map<ServiceId, double> m_typicalLogSeconds;
};

} // namespace dogwoodhall
