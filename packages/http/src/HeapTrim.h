#pragma once

#include "dogwoodhall/budget/CallerAccount.h"

namespace dogwoodhall {

// Returns freed memory to the system when the account says that much of it is free. Does nothing without glibc, whose
// allocator keeps what was freed below a block in use.
void trimHeap(CallerAccount&, TimePoint now);

} // namespace dogwoodhall
