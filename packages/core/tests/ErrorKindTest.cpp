#include "dogwoodhall/core/ErrorKind.h"

#include "TableRows.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <string>

using namespace dogwoodhall;

struct KindRow {
    ErrorKind kind;
    int status;
    bool provesNotRun;
};

const KindRow rows[] = {
    { ErrorKind::BadRequest, 400, true },
    { ErrorKind::RequestTimeout, 408, false },
    { ErrorKind::BodyTooLarge, 413, false },
    { ErrorKind::HeadersTooLarge, 431, true },
    { ErrorKind::NoRoute, 404, true },
    { ErrorKind::QueueFull, 503, true },
    { ErrorKind::DeadlineUnreachable, 503, true },
    { ErrorKind::DeadlineExceeded, 504, false },
    { ErrorKind::NoEndpoint, 503, true },
    { ErrorKind::UpstreamRefused, 503, true },
    { ErrorKind::UpstreamFailed, 502, false },
    { ErrorKind::UpstreamTruncated, 502, false },
    { ErrorKind::PeerFailed, 502, false },
    { ErrorKind::TicketUnknown, 409, false },
    { ErrorKind::TicketInProgress, 409, false },
    { ErrorKind::TicketStoreFull, 503, true },
    { ErrorKind::TicketMisused, 422, true },
    { ErrorKind::Draining, 503, true },
    { ErrorKind::NotReady, 503, true },
    { ErrorKind::Cancelled, 499, false },
    { ErrorKind::Internal, 500, false },
};

// Guards against an error kind that reports not-run although an upstream may have received the request.
ParameterizedTestParameters(ErrorKind, matchesStatusAndOutcome) { return rowIndices(rows); }

ParameterizedTest(std::size_t* index, ErrorKind, matchesStatusAndOutcome)
{
    const KindRow& row = rows[*index];
    const ErrorAnswer& answer = answerFor(row.kind);
    cr_assert_eq(answer.status, row.status);
    cr_assert_eq(answer.outcome == Outcome::NotRun, row.provesNotRun);
    cr_assert(errorKindFromName(answer.name) == row.kind);
}
