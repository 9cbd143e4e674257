#include "HeapTrim.h"

#include <cstdlib>
#if defined(__GLIBC__)
#include <malloc.h>
#endif

namespace dogwoodhall {

void trimHeap(CallerAccount& account, TimePoint now)
{
    if (!account.shouldTrim(now))
        return;
#if defined(__GLIBC__)
    ::malloc_trim(0);
#endif
}

} // namespace dogwoodhall
