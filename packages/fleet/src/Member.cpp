#include "dogwoodhall/fleet/Member.h"

#include <tuple>

namespace dogwoodhall {

bool supersedes(const Member& claim, const Member& known)
{
    return std::tie(claim.incarnation, claim.version, claim.state)
        > std::tie(known.incarnation, known.version, known.state);
}

} // namespace dogwoodhall
