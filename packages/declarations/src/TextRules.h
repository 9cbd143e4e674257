#pragma once

#include "ObjectReader.h"

#include "dogwoodhall/core/LogOptions.h"

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
const TextRule& logFormatText();
const TextRule& logLevelText();

// The level with this name; empty where there is none.
std::optional<LogLevel> findLogLevel(std::string_view name);

} // namespace dogwoodhall
