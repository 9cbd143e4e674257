#pragma once

#include "dogwoodhall/core/Ids.h"

#include <algorithm>

namespace dogwoodhall {

// Whether the records that peers have sent are complete. They arrive in order of revision, each key only with its
// newest change, so that a part of them may lack a change that a peer with a lower highest revision holds. Such a peer
// cannot confirm the records.
class RecordTransfer {
public:
    // A part of a sequence has arrived, up to `last`, from a member that held records up to `senderHighest`.
    void received(Revision last, Revision senderHighest)
    {
        if (last < senderHighest)
            m_completeAt = std::max(m_completeAt, senderHighest);
        else if (last >= m_completeAt)
            m_completeAt = Revision(); // Deletions of unknown keys at the end may be ignored.
    }
    bool isComplete(Revision held) const { return held >= m_completeAt; }

private:
    Revision m_completeAt;
};

} // namespace dogwoodhall
