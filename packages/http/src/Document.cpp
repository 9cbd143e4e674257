#include "dogwoodhall/http/Document.h"

#include "dogwoodhall/exchange/WholeBody.h"

#include <utility>

namespace dogwoodhall {

namespace {

std::chrono::steady_clock::time_point after(Duration timeout)
{
    return std::chrono::steady_clock::now() + std::chrono::duration_cast<std::chrono::steady_clock::duration>(timeout);
}

} // namespace

ExchangeResult<Document> getDocument(
    UpstreamClient& client, NetworkAddress address, std::string target, DocumentLimits limits)
{
    OutgoingRequest request;
    request.head.method = "GET";
    request.head.target = std::move(target);
    request.head.fields.add("Host", toString(address));
    request.readBody = emptyBody();
    auto response = co_await client.exchange(address, std::move(request), after(limits.headTimeout));
    if (!response)
        co_return tl::unexpected(response.error());
    Document document;
    document.status = response->head.status;
    document.fields = response->head.fields;
    auto body = co_await readFullBody(*response, limits.size, after(limits.bodyTimeout));
    if (!body) {
        ExchangeError truncated { ErrorKind::UpstreamTruncated, false, body.error().detail };
        co_return tl::unexpected(std::move(truncated));
    }
    document.body = std::move(*body);
    co_return document;
}

} // namespace dogwoodhall
