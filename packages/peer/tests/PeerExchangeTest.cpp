#include "PeerFixture.h"
#include "TableRows.h"

#include <criterion/parameterized.h>

using namespace dogwoodhall;

struct BodyRow {
    std::size_t requestBytes;
    BodyLength::Kind requestKind;
    std::size_t responseBytes;
    BodyLength::Kind responseKind;
};

constexpr std::size_t large = 5 * 1024 * 1024;
constexpr auto none = BodyLength::Kind::None;
constexpr auto exact = BodyLength::Kind::Exact;
constexpr auto streamed = BodyLength::Kind::Streamed;

const BodyRow bodyRows[] = {
    { 0, none, 0, none },
    { 0, none, 12, exact },
    { 0, exact, 0, exact },
    { 0, streamed, 0, streamed },
    { 12, exact, 12, exact },
    { 12, streamed, 12, streamed },
    { large, exact, 0, none },
    { large, streamed, 12, exact },
    { 0, none, large, exact },
    { 0, none, large, streamed },
    { large, exact, large, exact },
    { large, streamed, large, streamed },
};

// Coroutines are defined outside the tests: g++ 12 emits duplicate symbols for lambdas inside a Criterion test.
RequestHandler checkAndRespond(const BodyRow& row)
{
    return [&row](IncomingRequest request, ResponseWriter writer) -> asio::awaitable<void> {
        cr_assert(request.head.target == "/forward?a=1" && request.head.method == "POST");
        cr_assert_eq(request.head.bodyLength.kind, row.requestKind);
        cr_assert(request.head.fields.find("Dogwoodhall-Ticket") == "T-1");
        cr_assert_not(request.head.fields.find("Connection"));
        const ReadResult body = co_await readAll(request.readBody, 1);
        cr_assert(body.matches && !body.error);
        cr_assert_eq(body.bytes, row.requestBytes);
        const BodyLength length { row.responseKind, ByteCount(row.responseBytes) };
        co_await respondWithPattern(writer, length, row.responseBytes, 2);
    };
}

asio::awaitable<void> exchangeBodies(PeerPair& pair, const BodyRow& row)
{
    OutgoingRequest request = makeRequest(
        "/forward?a=1", { row.requestKind, ByteCount(row.requestBytes) }, patternBody(row.requestBytes, 1));
    request.head.fields.add("Dogwoodhall-Ticket", "T-1");
    request.head.fields.add("Connection", "close");
    auto response = co_await pair.client->exchange(pair.address, std::move(request), testDeadline());
    cr_assert(response, "%s", response ? "" : response.error().detail.c_str());
    cr_assert_eq(response->head.status, 200);
    cr_assert_eq(response->head.bodyLength.kind, row.responseKind);
    const ReadResult body = co_await readAll(response->readBody, 2);
    cr_assert(body.matches && !body.error);
    cr_assert_eq(body.bytes, row.responseBytes);
    cr_assert_eq(pair.client->openConnections(), 1);
}

// Guards against bodies that are lost, reordered or truncated, and heads that are altered in transit.
ParameterizedTestParameters(PeerExchange, carriesHeadsAndBodies) { return rowIndices(bodyRows); }

ParameterizedTest(std::size_t* index, PeerExchange, carriesHeadsAndBodies)
{
    PeerPair pair(checkAndRespond(bodyRows[*index]));
    runTest(pair.io, exchangeBodies(pair, bodyRows[*index]));
}
