#pragma once

#include "ObjectReader.h"

namespace dogwoodhall {

// 1 to 100 letters, digits, '.', '_' and '-'.
const TextRule& idText();
const TextRule& hostNameText();
const TextRule& pathText();
const TextRule& methodText();
// IP:PORT; port 0 lets the kernel choose.
const TextRule& listeningAddressText();
// IP:PORT with a port other than 0.
const TextRule& remoteAddressText();
const TextRule& workClassText();
const TextRule& priorityText();

} // namespace dogwoodhall
