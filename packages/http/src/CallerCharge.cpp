#include "dogwoodhall/http/CallerCharge.h"

#include <chrono>
#include <utility>

namespace dogwoodhall {

TimePoint callerAccountNow()
{
    return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

CallerCharge::CallerCharge(CallerAccount& account, ConnectionId id, std::function<void()> relieve)
    : m_account(account)
    , m_id(id)
    , m_relieve(std::move(relieve))
{
    m_account.open(m_id, callerAccountNow());
}

CallerCharge::~CallerCharge() { m_account.close(m_id); }

void CallerCharge::enter(CallerStage stage) { m_account.enter(m_id, stage, callerAccountNow()); }

void CallerCharge::hold(CallerMemory kind, std::size_t bytes)
{
    m_account.hold(m_id, kind, ByteCount(bytes));
    if (m_account.isShortOfMemory())
        m_relieve();
}

void CallerCharge::beginWait() { m_account.beginWait(m_id, callerAccountNow()); }

void CallerCharge::endWait(std::size_t bytes) { m_account.endWait(m_id, ByteCount(bytes), callerAccountNow()); }

void CallerCharge::answered() { m_account.answered(m_id); }

} // namespace dogwoodhall
