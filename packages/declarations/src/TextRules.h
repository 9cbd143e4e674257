#pragma once

#include "ObjectReader.h"

#include "dogwoodhall/core/LogOptions.h"

namespace dogwoodhall {

// 1 to 100 letters, digits, '.', '_' and '-'.
const TextRule& idText();
const TextRule& hostNameText();
const TextRule& pathText();
const TextRule& methodText();
// IP:PORT; with port 0 the kernel chooses a port.
const TextRule& listeningAddressText();
// IP:PORT with a port other than 0.
const TextRule& remoteAddressText();
const TextRule& workClassText();
const TextRule& priorityText();
const TextRule& logFormatText();
const TextRule& logLevelText();

// Returns the level with this name, or nullopt if there is none.
std::optional<LogLevel> findLogLevel(std::string_view name);

} // namespace dogwoodhall
