#include "dogwoodhall/fleet/Member.h"

#include <tuple>

namespace dogwoodhall {

bool supersedes(const Member& claim, const Member& known)
{
    return std::tie(claim.incarnation, claim.version, claim.state)
        > std::tie(known.incarnation, known.version, known.state);
}

bool isSameClaim(const Member& a, const Member& b)
{
    return std::tie(a.id, a.incarnation, a.version, a.state) == std::tie(b.id, b.incarnation, b.version, b.state);
}

} // namespace dogwoodhall
