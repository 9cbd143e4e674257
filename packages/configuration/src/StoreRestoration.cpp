#include "dogwoodhall/configuration/StoreRestoration.h"

namespace dogwoodhall {

bool StoreRestoration::observe(Era era, TimePoint now)
{
    if (!m_firstEra) {
        m_firstEra = era;
        m_latestEra = era;
    }
    if (era <= m_latestEra)
        return false;
    m_latestEra = era;
    m_settlesAt = now + m_grace;
    return true;
}

} // namespace dogwoodhall
