#include "dogwoodhall/pool/Pool.h"

#include "TableRows.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <sstream>
#include <string>

using namespace dogwoodhall;

namespace {

// A deterministic policy, so that rows can name endpoints: the least loaded one, or the first of several.
std::optional<std::size_t> firstLeastLoaded(const std::vector<EndpointCandidate>& all, WorkClass, DecisionContext)
{
    const auto load = [](const EndpointCandidate& it) { return (it.inUse.count() + 1.0) / it.slots.count(); };
    std::optional<std::size_t> best;
    for (std::size_t n = 0; n < all.size(); ++n) {
        if (!best || load(all[n]) < load(all[*best]))
            best = n;
    }
    return best;
}

// Runs a script of steps against a pool and returns its actions as text. Steps, separated by spaces:
//   =a:2,b:1!  reconfigure: endpoints with slots, "!" for leaving     Ea  setLeaving(a)
//   s1 l1 w1 n1  admit 1 as short, long, short with low priority, or short and not idempotent; "@50" adds a deadline at
//              50 ms, "-a" excludes a
//   d1 r1 f1 g1 h1 o1  complete 1: answered, refused, failed, answered while draining, cancelled, lost to a hedge
//   u1         complete 1: its caller failed     Ha  health check response from a
//   c1  cancel 1     +50  advance by 50 ms     x  expire     ?  output the expected wait in ms
class Script {
public:
    explicit Script(PoolLimits limits)
        : m_limits(limits)
        , m_pool({ ServiceId("s"), DataCentreId("d") }, limits, firstLeastLoaded)
    {
    }

    std::string run(const std::string& text)
    {
        std::istringstream in(text);
        for (std::string step; in >> step;)
            perform(step[0], step.substr(1));
        return m_output;
    }

private:
    void perform(char kind, const std::string& rest)
    {
        const DecisionContext context { m_now, m_random };
        if (kind == '=')
            write(m_pool.reconfigure(endpoints(rest), m_limits, context));
        else if (kind == 'E')
            write(m_pool.setLeaving(EndpointId(rest), context));
        else if (kind == 's' || kind == 'l' || kind == 'w' || kind == 'n')
            write(m_pool.admit(request(kind, rest), context));
        else if (kind == 'H')
            m_pool.observeLoad(EndpointId(rest), SlotCount(0), m_now);
        else if (kind == 'c')
            write(m_pool.cancel(RequestId(std::stoul(rest)), context));
        else if (kind == '+')
            m_now = m_now + std::chrono::milliseconds(std::stoul(rest));
        else if (kind == 'x')
            write(m_pool.expire(context));
        else if (kind == '?')
            m_output += "?" + std::to_string(m_pool.expectedWait(m_now) / std::chrono::milliseconds(1)) + " ";
        else
            write(m_pool.complete(RequestId(std::stoul(rest)), completion(kind), context));
    }

    static std::vector<PoolEndpoint> endpoints(const std::string& text)
    {
        std::vector<PoolEndpoint> result;
        std::istringstream in(text);
        for (std::string item; std::getline(in, item, ',');)
            result.push_back({ EndpointId(item.substr(0, 1)), SlotCount(std::stoul(item.substr(2))),
                item.find('!') != std::string::npos });
        return result;
    }

    static PoolRequest request(char kind, const std::string& text)
    {
        PoolRequest request { RequestId(std::stoul(text)), kind == 'l' ? WorkClass::Long : WorkClass::Short,
            kind == 'w' ? Priority::Low : Priority::Normal, TimePoint::max(), {}, kind != 'n' };
        if (const auto at = text.find('@'); at != std::string::npos)
            request.deadline = TimePoint(std::chrono::milliseconds(std::stoul(text.substr(at + 1))));
        if (const auto at = text.find('-'); at != std::string::npos)
            request.excluded.push_back(EndpointId(text.substr(at + 1, 1)));
        return request;
    }

    static Completion completion(char kind)
    {
        const auto result = kind == 'r' ? CompletionResult::Refused
            : kind == 'f'               ? CompletionResult::Failed
            : kind == 'h'               ? CompletionResult::Cancelled
            : kind == 'o'               ? CompletionResult::LostToHedge
            : kind == 'u'               ? CompletionResult::CallerFailed
                                        : CompletionResult::Answered;
        return { result, {}, {}, kind == 'g' };
    }

    void write(const PoolActions& actions)
    {
        for (const auto& action : actions) {
            if (const auto* dispatch = std::get_if<Dispatch>(&action))
                m_output += std::to_string(dispatch->request.value()) + ">" + dispatch->endpoint.value() + " ";
            else if (const auto* refuse = std::get_if<Refuse>(&action))
                m_output
                    += std::to_string(refuse->request.value()) + "!" + std::string(answerFor(refuse->kind).name) + " ";
            else if (const auto* timer = std::get_if<ArmTimer>(&action))
                m_output += "t" + std::to_string(timer->at.sinceOrigin() / std::chrono::milliseconds(1)) + " ";
        }
    }

    PoolLimits m_limits;
    Pool m_pool;
    TimePoint m_now;
    RandomEngine m_random { 1 };
    std::string m_output;
};

PoolLimits limitsOf(unsigned queuePerSlot, unsigned allowance)
{
    PoolLimits limits;
    limits.queuePerSlot = queuePerSlot;
    limits.allowance.minRequests = SlotCount(allowance);
    limits.health.failuresToEject = 2;
    limits.health.ejection = std::chrono::milliseconds(100);
    return limits;
}

} // namespace

struct ScriptRow {
    const char* guardsAgainst;
    unsigned queuePerSlot;
    unsigned allowance;
    const char* script;
    const char* expected;
};

const ScriptRow rows[] = {
    { "more requests at an endpoint than slots and allowance", 9, 1, "=a:2 s1 s2 s3 s4 d1", "1>a 2>a 3>a 4>a " },
    { "an endpoint chosen before a slot is free", 9, 0, "=a:1,b:1 s1 s2 s3 s4 d2 d1", "1>a 2>b 3>b 4>a " },
    { "a slot freed twice by cancel and a late completion", 9, 0, "=a:1 s1 s2 s3 c1 d1 c7 d2", "1>a 2>a 3>a " },
    { "a slot freed by the completion of an unknown request", 9, 0, "=a:1 s1 s2 d9", "1>a " },
    { "an unbounded queue", 2, 0, "=a:1 s1 s2 s3 s4", "1>a 4!queue-full " },
    { "a cancelled request that is dispatched", 9, 0, "=a:1 s1 s2 s3 c2 d1", "1>a 3>a " },
    { "a request that waits beyond its deadline", 9, 0, "=a:1 s1 s2@50 s3 +50 x d1",
        "1>a t50 2!deadline-unreachable 3>a " },
    { "a dispatch after the deadline if the timer is late", 9, 0, "=a:1 s1 s2@50 s3 +60 d1 x",
        "1>a t50 2!deadline-unreachable 3>a " },
    { "a timer set back to a later deadline", 9, 0, "=a:1 s1 s2@50 s3@90 s4@20 +20 x",
        "1>a t50 t20 4!deadline-unreachable t50 " },
    { "queueing a request that cannot be served in time", 9, 0, "=a:1 s1 +100 d1 s2 s3@250 s4@290 s5@500",
        "1>a 2>a 3!deadline-unreachable 4!deadline-unreachable t500 " },
    { "refusing a request that can be served in time", 9, 0, "=a:1 s1 +100 d1 s2 s3@350 s4@450 +100 d2 +100 d3",
        "1>a 2>a t350 3>a 4>a " },
    { "an expected wait that ignores the queue", 9, 0, "=a:1,b:1 ? s1 +100 d1 ? s2 s3 ? s4 s5 ?",
        "?0 1>a ?0 2>a 3>b ?50 ?150 " },
    { "low-priority requests taking queue space from normal ones", 4, 0, "=a:1 s1 w2 w3 w4 s5 s6 s7 s8 s9 d1",
        "1>a 4!queue-full 3!queue-full 2!queue-full 9!queue-full 5>a " },
    { "a normal request displaced by a normal one", 2, 0, "=a:1 s1 w2 s3 s4 s5", "1>a 2!queue-full 5!queue-full " },
    { "short work waiting behind long work", 9, 0, "=a:2 l1 l2 l3 s4 s5 d4", "1>a 4>a 5>a " },
    { "long work taking more than one slot of an endpoint", 9, 1, "=a:3,b:3 l1 l2 l3 d1", "1>a 2>b 3>a " },
    { "long work taking more than its share of the pool", 9, 0, "=a:1,b:1,c:1,d:1 l1 l2 l3 s4 s5 d2",
        "1>a 2>b 4>c 5>d 3>b " },
    { "a short request waiting at an endpoint behind long work", 9, 1, "=a:1,b:1 l1 s2 s3 s4 d1", "1>a 2>b 3>b 4>a " },
    { "long work that never gets a slot while short work waits", 9, 0, "=a:2 s1 s2 l3 s4 d1", "1>a 2>a 3>a " },
    { "work for a leaving endpoint", 9, 0, "=a:1!,b:1 s1 s2 d1", "1>b 2>b " },
    { "work for an endpoint whose response stated that it is draining", 9, 0, "=a:1,b:1 s1 s2 s3 g1 d2",
        "1>a 2>b 3>b " },
    { "the leaving state lost by a reconfiguration from a stale list", 9, 0, "=a:1,b:1 s1 g1 =a:1,b:1 s2", "1>a 2>b " },
    { "an endpoint that stays leaving after it was declared live again", 9, 0, "=a:1,b:1 Ea =a:1!,b:1 =a:1,b:1 s1",
        "1>a " },
    { "an endpoint that stays leaving after it was omitted once", 9, 0, "=a:1,b:1 Ea =b:1 =a:1,b:1 s1", "1>a " },
    { "requests waiting for endpoints that are all leaving", 9, 0, "=a:1 s1 s2 Ea s3 d1",
        "1>a 2!no-endpoint 3!no-endpoint " },
    { "requests waiting for endpoints that were removed", 9, 0, "=a:1 s1 s2 =b:1 =", "1>a 2>b " },
    { "a request that excludes every endpoint waiting until its deadline", 9, 0, "=a:1 s1-a", "1!no-endpoint " },
    { "a retry sent to the endpoint that refused it", 9, 0, "=a:1,b:1 s1 s2 s3-b d2 d1", "1>a 2>b 3>a " },
    { "a request blocking the queue by its exclusion", 9, 0, "=a:1,b:1 s1 s2 s3-a s4 d1", "1>a 2>b 4>a " },
    { "wrong slot counts after an endpoint was removed and returned", 9, 0, "=a:1,b:1 s1 =b:1 =a:1,b:1 s2 s3 d1",
        "1>a 2>b 3>a " },
    { "a full share for a cold endpoint", 9, 1, "=a:1 =a:1,b:8 s1 s2 s3 s4 +20000 s5", "1>b 2>a 3>a 4>b 5>b " },
    { "treating the endpoints of a new pool as cold", 9, 0, "=a:1,b:8 s1 s2 s3", "1>b 2>b 3>b " },
    { "an unchanged limit at an endpoint that refused a request", 9, 1, "=a:2,b:1 s1 s2 s3 s4 r1 s5 s6",
        "1>a 2>a 3>b 4>a 5>b " },
    { "a limit after a refusal that never recovers", 9, 0, "=a:2 s1 s2 r1 s3 +200 s4 d2", "1>a 2>a 3>a 4>a " },
    { "an endpoint that fails fast attracting work", 9, 0, "=a:1,b:1 s1 f1 s2 f2 s3 d3 s4", "1>a 2>a 3>b 4>b " },
    { "ejecting every endpoint", 9, 0, "=a:1,b:1 s1 f1 s2 f2 s3 f3 s4 f4 s5", "1>a 2>a 3>b 4>b 5>b " },
    { "an ejected endpoint that is never probed", 9, 0, "=a:1,b:2 s1 f1 s2 f2 s3 f3 +100 s4 d4 s5 s6",
        "1>b 2>b 3>a 4>b 5>b 6>a " },
    { "a probe that is not idempotent", 9, 0, "=a:1,b:2 s1 f1 s2 f2 +100 n3 s4", "1>b 2>b 3>a 4>b " },
    { "an endpoint that never recovers because no request is idempotent", 9, 0,
        "=a:1,b:2 s1 f1 s2 f2 +100 Hb n3 f3 +200 n4", "1>b 2>b 3>b 4>a " },
    { "trust in a health check response from before the ejection ended", 9, 0, "=a:1,b:2 s1 f1 s2 f2 Hb +100 n3",
        "1>b 2>b 3>a " },
    { "no endpoint for requests that are not idempotent", 9, 0, "=a:1,b:2 s1 f1 s2 f2 +100 n3-a", "1>b 2>b 3>b " },
    { "several probes at a time", 9, 0, "=a:1,b:2 s1 f1 s2 f2 +100 s3 s4 s5 f3", "1>b 2>b 3>b 4>a t300 " },
    { "no timer for the end of an ejection", 9, 0, "=a:1,b:1 s1 f1 s2 f2 s3 s4 +100 x", "1>a 2>a 3>b t100 4>a " },
    { "a retry that excludes all others waiting for the end of an ejection", 9, 0, "=a:1,b:1 s1 f1 s2 f2 s3-b",
        "1>a 2>a 3>a " },
    { "a hung endpoint that keeps its work", 9, 0, "=a:1,b:1 s1 +10 d1 s2 +10 d2 s3 +100 h3 s4 +100 h4 s5",
        "1>a 2>a 3>a 4>a 5>b " },
    { "an endpoint ejected because callers read slowly and disconnect", 9, 0,
        "=a:1,b:1 s1 +10 d1 s2 +10 d2 s3 +100 u3 s4 +100 u4 s5", "1>a 2>a 3>a 4>a 5>a " },
    { "a hung endpoint that keeps its work while hedges are answered", 9, 0,
        "=a:1,b:1 s1 +10 d1 s2 +10 d2 s3 +20 o3 s4 +20 o4 s5", "1>a 2>a 3>a 4>a 5>b " },
};

ParameterizedTestParameters(Pool, decides) { return rowIndices(rows); }

ParameterizedTest(std::size_t* index, Pool, decides)
{
    const ScriptRow& row = rows[*index];
    const std::string output = Script(limitsOf(row.queuePerSlot, row.allowance)).run(row.script);
    cr_assert_str_eq(output.c_str(), row.expected, "guards against %s: got \"%s\"", row.guardsAgainst, output.c_str());
}
