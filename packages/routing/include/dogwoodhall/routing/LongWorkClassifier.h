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
    // Work counts as long from this multiple of the service's typical duration, and as short again below half of it,
    // so that work near the bound does not change its class with each request.
    double longFactor = 8;
    // Work that answers this many bytes is long however fast it was: a slow caller would hold its slot for longer.
    ByteCount longBytes { 4'000'000 };
    unsigned samplesToJudge = 3;
    std::size_t prefixSegments = 2; // Leading path segments that tell kinds of work apart.
    std::size_t maxKeys = 4096; // About 200 bytes each; the least recently used is forgotten.
};

// Says whether a request is long work: by its rule's declaration, or else by what requests of the same service, rule
// and path prefix took before. Work that has not been seen is short. One per process; services are few, declared, and
// kept without a limit.
class LongWorkClassifier {
public:
    explicit LongWorkClassifier(LongWorkLimits limits = {});
    // A copy's index would refer to the entries of the original.
    LongWorkClassifier(const LongWorkClassifier&) = delete;
    LongWorkClassifier& operator=(const LongWorkClassifier&) = delete;
    LongWorkClassifier(LongWorkClassifier&&) = default;
    LongWorkClassifier& operator=(LongWorkClassifier&&) = default;

    WorkClass classify(std::optional<WorkClass> declared, const ServiceId&, const RuleId&, std::string_view path);
    // `duration` is the time at the endpoint, without waiting; `bytes` is the length of the answer's body.
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
    std::unordered_map<std::string_view, Entries::iterator> m_index; // Views into the entries' keys.
    // Moving average of the logarithm of seconds: a few long requests do not move it much.
    std::unordered_map<ServiceId, double> m_typicalLogSeconds;
};

} // namespace dogwoodhall
