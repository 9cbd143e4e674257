#pragma once

#include "dogwoodhall/budget/CallerAccount.h"

#include <functional>

namespace dogwoodhall {

// One connection's part of a CallerAccount, at the time of the steady clock. The account must outlive it.
class CallerCharge {
public:
    // `relieve` is called when the account is short.
    CallerCharge(CallerAccount&, ConnectionId, std::function<void()> relieve);
    CallerCharge(const CallerCharge&) = delete;
    CallerCharge& operator=(const CallerCharge&) = delete;
    ~CallerCharge();

    void enter(CallerStage);
    void hold(CallerMemory, std::size_t bytes);
    void beginWait();
    void endWait(std::size_t bytes);
    void answered();
    bool hasRoomAhead() const { return m_account.hasRoomAhead(); }

private:
    CallerAccount& m_account;
    ConnectionId m_id;
    std::function<void()> m_relieve;
};

// The time that a CallerAccount is given.
TimePoint callerAccountNow();

} // namespace dogwoodhall
