#include "TraceCollector.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <mutex>
#include <thread>
#include <utility>

namespace dogwoodhall {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
namespace json = boost::json;

using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

namespace {

std::string textOf(const json::value& object, std::string_view name)
{
    const auto* value = object.as_object().if_contains(name);
    return value ? json::value_to<std::string>(*value) : std::string();
}

// Returns the text of the attribute with this name, or an empty text if there is none.
std::string attributeOf(const json::value& object, std::string_view name)
{
    for (const auto& attribute : object.at("attributes").as_array()) {
        if (attribute.at("key").as_string() == name)
            return textOf(attribute.at("value"), "stringValue");
    }
    return {};
}

// Returns the attribute "error" of a span, which must be present if and only if its status is an error (code 2).
std::string errorOf(const json::value& span)
{
    auto error = attributeOf(span, "error");
    if (error.empty() != (span.at("status").at("code").as_int64() == 1))
        throw std::runtime_error("a span whose status and error differ");
    return error;
}

// Throws if a required field is missing or has the wrong type.
std::vector<CollectedSpan> parseExport(const std::string& body)
{
    std::vector<CollectedSpan> spans;
    const auto document = json::parse(body);
    for (const auto& resourceSpans : document.at("resourceSpans").as_array()) {
        const auto instance = attributeOf(resourceSpans.at("resource"), "service.instance.id");
        for (const auto& scopeSpans : resourceSpans.at("scopeSpans").as_array()) {
            for (const auto& span : scopeSpans.at("spans").as_array()) {
                if (std::stoull(textOf(span, "endTimeUnixNano")) < std::stoull(textOf(span, "startTimeUnixNano")))
                    throw std::runtime_error("a span that ends before it starts");
                spans.push_back({ textOf(span, "traceId"), textOf(span, "spanId"), textOf(span, "parentSpanId"),
                    textOf(span, "name"), instance, errorOf(span), attributeOf(span, "reason") });
            }
        }
    }
    return spans;
}

} // namespace

class TraceCollector::Impl {
public:
    explicit Impl(Mode mode)
        : m_mode(mode)
        , m_acceptor(m_io, { asio::ip::address_v4::loopback(), 0 })
        , m_address { IpAddress::loopback(), m_acceptor.local_endpoint().port() }
    {
        accept();
        m_thread = std::thread([this] { m_io.run(); });
    }

    ~Impl()
    {
        m_io.stop();
        m_thread.join();
    }

    const NetworkAddress& address() const { return m_address; }
    std::size_t malformed() const { return m_malformed; }

    std::vector<CollectedSpan> spans() const
    {
        const std::lock_guard lock(m_mutex);
        return m_spans;
    }

private:
    // A connection, owned by its pending operation.
    struct Session {
        explicit Session(asio::ip::tcp::socket accepted)
            : socket(std::move(accepted))
        {
        }

        asio::ip::tcp::socket socket;
        beast::flat_buffer buffer;
        Request request;
        Response response;
    };

    void accept()
    {
        m_acceptor.async_accept([this](boost::system::error_code ec, asio::ip::tcp::socket socket) {
            if (!ec)
                read(std::make_shared<Session>(std::move(socket)));
            accept();
        });
    }

    void read(std::shared_ptr<Session> session)
    {
        Session& current = *session;
        current.request = {};
        http::async_read(current.socket, current.buffer, current.request,
            [this, session = std::move(session)](boost::system::error_code ec, std::size_t) {
                if (!ec)
                    respond(session);
            });
    }

    void respond(const std::shared_ptr<Session>& session)
    {
        store(session->request);
        if (m_mode == Mode::NeverResponds) {
            read(session);
            return;
        }
        session->response
            = Response(m_mode == Mode::Accepts ? http::status::ok : http::status::service_unavailable, 11);
        session->response.body() = "{}";
        session->response.prepare_payload();
        if (m_mode == Mode::Stalls)
            session->response.content_length(session->response.body().size() + 1);
        http::async_write(
            session->socket, session->response, [this, session](boost::system::error_code ec, std::size_t) {
                if (!ec)
                    read(session);
            });
    }

    void store(const Request& request)
    {
        try {
            if (request.method() != http::verb::post || request.target() != "/v1/traces"
                || request[http::field::content_type] != "application/json")
                throw std::runtime_error("not an export request");
            auto spans = parseExport(request.body());
            const std::lock_guard lock(m_mutex);
            m_spans.insert(m_spans.end(), spans.begin(), spans.end());
        } catch (const std::exception&) {
            ++m_malformed;
        }
    }

    Mode m_mode;
    asio::io_context m_io { 1 };
    asio::ip::tcp::acceptor m_acceptor;
    NetworkAddress m_address;
    mutable std::mutex m_mutex; // Guards m_spans.
    std::vector<CollectedSpan> m_spans;
    std::atomic<std::size_t> m_malformed { 0 };
    std::thread m_thread;
};

TraceCollector::TraceCollector(Mode mode)
    : m_impl(std::make_unique<Impl>(mode))
{
}

TraceCollector::~TraceCollector() = default;

const NetworkAddress& TraceCollector::address() const { return m_impl->address(); }

std::vector<CollectedSpan> TraceCollector::spans() const { return m_impl->spans(); }

std::size_t TraceCollector::malformedRequests() const { return m_impl->malformed(); }

} // namespace dogwoodhall
