#pragma once

#include "dogwoodhall/core/Units.h"

namespace dogwoodhall {

// What a stopping process takes. All of its requests must have been answered before it ends.
struct StopSchedule {
    // Until then requests are taken even if their time limits lie beyond `answerBy`. One that arrives later and is cut
    // off cannot be told from one that was lost.
    TimePoint openEndedUntil;
    TimePoint answerBy; // Time limit of all requests.
};

} // namespace dogwoodhall
