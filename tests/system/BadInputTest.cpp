#include "MemberStatus.h"
#include "TableRows.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace dogwoodhall;

namespace {

std::string repeated(char c, std::size_t n) { return std::string(n, c); }

const std::string id = "X-Request-Id: bad\r\n";
const std::string host = "Host: test\r\n" + id;
const std::string chunkedPost = "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n";
// Above the default limits of 16 KiB for a head and 64 MiB for a body.
constexpr std::size_t aboveHeaderLimit = 20 * 1024;
const std::string aboveBodyLimit = "67108865";

} // namespace

struct BadInputRow {
    const char* name;
    std::string bytes;
    unsigned status;
    const char* error;
};

const BadInputRow rows[] = {
    { "oversized field", "GET / HTTP/1.1\r\n" + host + "X: " + repeated('a', aboveHeaderLimit) + "\r\n\r\n", 431,
        "headers-too-large" },
    { "many fields",
        "GET / HTTP/1.1\r\n" + host +
            []() {
                std::string fields;
                for (int n = 0; n < 2'000; ++n)
                    fields += "X-" + std::to_string(n) + ": a\r\n";
                return fields;
            }()
            + "\r\n",
        431, "headers-too-large" },
    { "oversized request line", "GET /" + repeated('a', aboveHeaderLimit) + " HTTP/1.1\r\n" + host + "\r\n", 431,
        "headers-too-large" },
    { "unending request line", "GET /" + repeated('a', aboveHeaderLimit), 431, "headers-too-large" },
    { "declared body too large", "POST / HTTP/1.1\r\n" + host + "Content-Length: " + aboveBodyLimit + "\r\n\r\n", 413,
        "body-too-large" },
    { "chunk too large", chunkedPost + "4000001\r\n" + repeated('a', 1024), 413, "body-too-large" },
    { "slow head", "GET / HTTP/1.1\r\n" + host, 408, "request-timeout" },
    { "slow body", "POST / HTTP/1.1\r\n" + host + "Content-Length: 10\r\n\r\nabc", 408, "request-timeout" },
    { "slow chunk", chunkedPost + "5\r\nab", 408, "request-timeout" },
    { "bare LF in all lines", "GET / HTTP/1.1\nHost: test\nX-Request-Id: bad\n\n", 400, "bad-request" },
    { "bare LF in one line", "GET / HTTP/1.1\r\n" + id + "A: b\nHost: test\r\n\r\n", 400, "bad-request" },
    { "bare LF after the request line", "GET / HTTP/1.1\n" + host + "\r\n", 400, "bad-request" },
    { "bare CR in a field", "GET / HTTP/1.1\r\n" + host + "A: b\rc\r\n\r\n", 400, "bad-request" },
    { "conflicting lengths", "POST / HTTP/1.1\r\n" + host + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", 400,
        "bad-request" },
    { "repeated length", "POST / HTTP/1.1\r\n" + host + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc", 400,
        "bad-request" },
    { "list of lengths", "POST / HTTP/1.1\r\n" + host + "Content-Length: 3, 3\r\n\r\nabc", 400, "bad-request" },
    { "negative length", "POST / HTTP/1.1\r\n" + host + "Content-Length: -3\r\n\r\nabc", 400, "bad-request" },
    { "signed length", "POST / HTTP/1.1\r\n" + host + "Content-Length: +3\r\n\r\nabc", 400, "bad-request" },
    { "length beyond 64 bits", "POST / HTTP/1.1\r\n" + host + "Content-Length: 99999999999999999999\r\n\r\n", 400,
        "bad-request" },
    { "length and chunked",
        "POST / HTTP/1.1\r\n" + host + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400,
        "bad-request" },
    { "chunked and length",
        "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n", 400,
        "bad-request" },
    { "chunked twice", "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked, chunked\r\n\r\n0\r\n\r\n", 400,
        "bad-request" },
    { "other coding", "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 400,
        "bad-request" },
    { "chunked not last", "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked, gzip\r\n\r\n0\r\n\r\n", 400,
        "bad-request" },
    { "unknown coding", "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n", 400,
        "bad-request" },
    { "obs-fold", "GET / HTTP/1.1\r\n" + host + "A: b\r\n c\r\n\r\n", 400, "bad-request" },
    { "space before colon", "GET / HTTP/1.1\r\n" + host + "A : b\r\n\r\n", 400, "bad-request" },
    { "space before the first field", "GET / HTTP/1.1\r\n " + host + "\r\n", 400, "bad-request" },
    { "field without colon", "GET / HTTP/1.1\r\n" + host + "A\r\n\r\n", 400, "bad-request" },
    { "field without name", "GET / HTTP/1.1\r\n" + host + ": b\r\n\r\n", 400, "bad-request" },
    { "NUL in a field", "GET / HTTP/1.1\r\n" + host + "A: b" + repeated('\0', 1) + "\r\n\r\n", 400, "bad-request" },
    { "chunk size not hexadecimal", chunkedPost + "xyz\r\nabc\r\n0\r\n\r\n", 400, "bad-request" },
    { "negative chunk size", chunkedPost + "-1\r\nabc\r\n0\r\n\r\n", 400, "bad-request" },
    { "chunk size beyond 64 bits", chunkedPost + "fffffffffffffffff\r\nabc\r\n0\r\n\r\n", 400, "bad-request" },
    { "chunk longer than its size", chunkedPost + "1\r\nabc\r\n0\r\n\r\n", 400, "bad-request" },
    { "bare LF after chunk size", chunkedPost + "3\nabc\r\n0\r\n\r\n", 400, "bad-request" },
    { "missing Host", "GET / HTTP/1.1\r\n" + id + "\r\n", 400, "bad-request" },
    { "two Hosts", "GET / HTTP/1.1\r\n" + host + "Host: other\r\n\r\n", 400, "bad-request" },
    { "CONNECT", "CONNECT test:80 HTTP/1.1\r\n" + host + "\r\n", 400, "bad-request" },
    { "target without slash", "GET index HTTP/1.1\r\n" + host + "\r\n", 400, "bad-request" },
    { "absolute target of another scheme", "GET ftp://test/ HTTP/1.1\r\n" + host + "\r\n", 400, "bad-request" },
    { "HTTP/1.0", "GET / HTTP/1.0\r\n" + host + "\r\n", 400, "bad-request" },
    { "HTTP/2.0", "GET / HTTP/2.0\r\n" + host + "\r\n", 400, "bad-request" },
    { "no version", "GET /\r\n" + host + "\r\n", 400, "bad-request" },
    { "garbage", "\x16\x03\x01\x02 garbage\r\n\r\n", 400, "bad-request" },
    { "HTTP/2 preface", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", 400, "bad-request" },
};

// Guards against malformed, oversized and slow requests that reach an upstream, which may parse them differently, or
// that get no error response that the caller can act on.
ParameterizedTestParameters(BadInput, isAnsweredAndNotRun) { return rowIndices(rows); }

ParameterizedTest(std::size_t* index, BadInput, isAnsweredAndNotRun, .timeout = 60)
{
    const BadInputRow& row = rows[*index];
    auto cluster = Cluster::Builder().start();
    TestClient client(cluster.caller());
    client.send(row.bytes);
    const auto response = client.readResponse();
    cr_assert_eq(response.status, row.status, "%s: status %u", row.name, response.status);
    const auto error = response.field("Dogwoodhall-Error");
    cr_assert_eq(error, row.error, "%s: error %s", row.name, error.c_str());
    cr_assert(response.isComplete && response.closesConnection, "%s", row.name);
    const auto counted
        = counterOf(cluster.daemon(), std::string("dogwoodhall_errors_total{kind=\"") + row.error + "\"}");
    cr_assert_eq(counted, 1, "%s: counted %zu times", row.name, std::size_t(counted));
    cr_assert_eq(cluster.runs("bad"), 0, "%s", row.name);
    cr_assert_eq(call(cluster.caller(), { "GET", "/", {}, {}, "next" }).status, 200, "%s", row.name);
    cr_assert(client.isAtEnd(), "%s: the connection stays open", row.name);
}

struct AcceptedRow {
    const char* name;
    std::string bytes;
    const char* body;
};

const AcceptedRow acceptedRows[] = {
    { "absolute target", "GET http://test/a HTTP/1.1\r\n" + host + "\r\n", "u0 received 0 bytes\n" },
    { "absolute target without path", "GET http://test HTTP/1.1\r\n" + host + "\r\n", "u0 received 0 bytes\n" },
    { "empty line before the request line", "\r\nGET / HTTP/1.1\r\n" + host + "\r\n", "u0 received 0 bytes\n" },
    { "chunk extension", chunkedPost + "3;a=b\r\nabc\r\n0\r\n\r\n", "u0 received 3 bytes\n" },
    { "trailer", chunkedPost + "3\r\nabc\r\n0\r\nX-Sum: 1\r\n\r\n", "u0 received 3 bytes\n" },
};

// Guards against validation so strict that valid requests fail.
ParameterizedTestParameters(BadInput, validFormsAreServed) { return rowIndices(acceptedRows); }

ParameterizedTest(std::size_t* index, BadInput, validFormsAreServed, .timeout = 60)
{
    const AcceptedRow& row = acceptedRows[*index];
    auto cluster = Cluster::Builder().start();
    TestClient client(cluster.caller());
    client.send(row.bytes);
    const auto response = client.readResponse();
    cr_assert_eq(response.status, 200, "%s: status %u", row.name, response.status);
    cr_assert_str_eq(response.body.c_str(), row.body, "%s", row.name);
    cr_assert_eq(cluster.runs("bad"), 1, "%s", row.name);
}
