#include "dogwoodhall/daemon/traffic/AnswerRelay.h"

#include <memory>

namespace dogwoodhall {

namespace {

constexpr std::size_t relayBufferBytes = 16 * 1024;

class AbandonGuard {
public:
    explicit AbandonGuard(IncomingResponse& response)
        : m_response(response)
    {
    }
    AbandonGuard(const AbandonGuard&) = delete;
    AbandonGuard& operator=(const AbandonGuard&) = delete;
    ~AbandonGuard()
    {
        if (m_isArmed)
            m_response.abandon();
    }
    void disarm() { m_isArmed = false; }

private:
    IncomingResponse& m_response;
    bool m_isArmed = true;
};

} // namespace

asio::awaitable<RelayOutcome> relayAnswer(
    IncomingResponse& response, const ResponseWriter& writer, const std::function<void()>& headWritten)
{
    AbandonGuard guard(response);
    RelayOutcome outcome;
    auto head = co_await writer.writeHead(response.head);
    if (!head)
        co_return outcome;
    headWritten();
    const auto bytes = std::make_unique_for_overwrite<char[]>(relayBufferBytes);
    const auto buf = asio::buffer(bytes.get(), relayBufferBytes);
    while (true) {
        auto n = co_await response.readBody(buf);
        if (!n || *n == 0)
            guard.disarm();
        if (!n) {
            // A relay is cancelled when its receiver disconnects.
            if (n.error().kind != ErrorKind::Cancelled)
                outcome.result = RelayResult::SourceFailed;
            co_return outcome;
        }
        if (*n == 0)
            break;
        auto written = co_await writer.writeBody(asio::buffer(buf, *n));
        if (!written)
            co_return outcome;
        outcome.bytes += ByteCount(*n);
    }
    auto finished = co_await writer.finish();
    if (finished)
        outcome.result = RelayResult::Complete;
    co_return outcome;
}

} // namespace dogwoodhall
