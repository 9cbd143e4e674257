#include "dogwoodhall/daemon/PlatformAdapter.h"

#include "dogwoodhall/daemon/control/PlatformClient.h"
#include "dogwoodhall/declarations/RecordParser.h"

namespace dogwoodhall {

PlatformAdapter ownPlatformAdapter(const NetworkAddress& platform)
{
    PlatformAdapter adapter;
    adapter.makeRecordSource
        = [platform](asio::any_io_executor executor) { return platformRecordSource(std::move(executor), platform); };
    adapter.parseRecord = parseRecord;
    return adapter;
}

} // namespace dogwoodhall
