#pragma once

#include "dogwoodhall/budget/LinkBudget.h"
#include "dogwoodhall/daemon/Snapshot.h"
#include "dogwoodhall/daemon/homes/LoadTable.h"
#include "dogwoodhall/daemon/homes/TrafficServices.h"
#include "dogwoodhall/routing/PoolChooser.h"

#include <optional>

namespace dogwoodhall {

// Chooses the pool for a request from the pool loads known to this traffic thread, within the thread's share of the
// link budget.
class PoolDirectory {
public:
    // `linkShare` is this thread's share of the process's link budget.
    PoolDirectory(TrafficServices&, Fraction linkShare);

    void apply(SnapshotPointer);

    std::optional<PoolId> choose(const ServiceId&, WorkClass);
    // Chooses a pool for a request that these pools of the service refused, with proof that it did not run.
    std::optional<PoolId> chooseAfterRefusal(const ServiceId&, const std::vector<PoolRefusal>&, WorkClass);
    // Corrects the link budget's charge for a response from another region once its size is known.
    void recordBytes(const PoolId&, WorkClass, ByteCount);

    LoadTable& loads() { return m_loads; }

private:
    std::vector<PoolState> statesOf(const ServiceId&, TimePoint now) const;
    std::optional<PoolId> toPool(const ServiceId&, const std::optional<PoolChoice>&);

    TrafficServices& m_services;
    Fraction m_linkShare;
    SnapshotPointer m_snapshot;
    LoadTable m_loads;
    PoolChooser m_chooser;
    LinkBudget m_links;
};

} // namespace dogwoodhall
