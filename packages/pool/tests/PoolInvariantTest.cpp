#include "dogwoodhall/pool/Pool.h"

#include "TableRows.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <map>

using namespace dogwoodhall;

namespace {

// Applies random events to a pool and checks its invariants after each one.
class RandomRun {
public:
    RandomRun(unsigned seed, unsigned allowance)
        : m_random(seed)
        , m_allowance(allowance)
        , m_pool({ ServiceId("s"), DataCentreId("d") }, limits(allowance), leastLoaded())
    {
    }

    void run(unsigned steps)
    {
        reconfigure();
        for (unsigned n = 0; n < steps; ++n) {
            m_now = m_now + std::chrono::microseconds(draw(3000));
            step();
            cr_assert_eq(m_pool.queued(), m_waiting.size(), "a request is lost or answered twice");
            cr_assert_eq(m_pool.dispatched(), m_running.size(), "wrong slot count");
        }
        while (!m_running.empty())
            finish(m_running.begin()->first);
        cr_assert(m_waiting.empty(), "a request waits in an idle pool");
    }

private:
    struct Running {
        EndpointId endpoint;
        bool isLong;
    };

    static PoolLimits limits(unsigned allowance)
    {
        PoolLimits limits;
        limits.allowance.minRequests = SlotCount(allowance);
        limits.queuePerSlot = 3;
        return limits;
    }

    std::uint64_t draw(std::uint64_t below)
    {
        return std::uniform_int_distribution<std::uint64_t>(0, below - 1)(m_random);
    }

    void step()
    {
        const auto kind = draw(100);
        if (kind < 50)
            admit();
        else if (kind < 90 && !m_running.empty())
            finish(std::next(m_running.begin(), static_cast<long>(draw(m_running.size())))->first);
        else if (kind < 94)
            cancel(RequestId(draw(m_next + 1)));
        else if (kind < 97)
            apply(m_pool.expire(context()));
        else if (kind < 99)
            reconfigure();
        else
            apply(m_pool.setLeaving(EndpointId(std::to_string(draw(5))), context()));
    }

    void admit()
    {
        const RequestId id(++m_next);
        m_waiting.emplace(id, draw(5) == 0);
        apply(m_pool.admit(
            { id, m_waiting[id] ? WorkClass::Long : WorkClass::Short, draw(3) == 0 ? Priority::Low : Priority::Normal,
                m_now + std::chrono::milliseconds(draw(50)), {} },
            context()));
    }

    void finish(RequestId id)
    {
        m_running.erase(id);
        apply(m_pool.complete(id, { static_cast<CompletionResult>(draw(7)), {}, {}, draw(50) == 0 }, context()));
    }

    void cancel(RequestId id)
    {
        m_running.erase(id);
        m_waiting.erase(id);
        apply(m_pool.cancel(id, context()));
    }

    void apply(const PoolActions& actions)
    {
        for (const auto& action : actions) {
            if (const auto* refuse = std::get_if<Refuse>(&action))
                cr_assert_eq(m_waiting.erase(refuse->request), 1, "a request is refused that is not queued");
            else if (const auto* dispatch = std::get_if<Dispatch>(&action))
                start(*dispatch);
        }
        checkLimits();
    }

    void start(const Dispatch& dispatch)
    {
        auto it = m_waiting.find(dispatch.request);
        cr_assert(it != m_waiting.end(), "a request is dispatched that is not queued");
        m_running.emplace(dispatch.request, Running { dispatch.endpoint, it->second });
        m_waiting.erase(it);
    }

    void reconfigure()
    {
        std::vector<PoolEndpoint> endpoints;
        for (unsigned n = 0; n < 5; ++n) {
            if (n == 0 || draw(4) != 0)
                endpoints.push_back({ EndpointId(std::to_string(n)), SlotCount(slots), n != 0 && draw(6) == 0 });
        }
        apply(m_pool.reconfigure(endpoints, limits(m_allowance), context()));
    }

    void checkLimits() const
    {
        std::map<EndpointId, std::pair<unsigned, unsigned>> counts;
        for (const auto& [id, running] : m_running) {
            ++counts[running.endpoint].first;
            counts[running.endpoint].second += running.isLong ? 1 : 0;
        }
        for (const auto& [id, count] : counts) {
            cr_assert_leq(count.first, slots + m_allowance, "an endpoint holds more than slots and allowance");
            cr_assert_leq(count.second, 1, "an endpoint holds more than one long request");
        }
    }

    DecisionContext context() { return { m_now, m_random }; }

    static constexpr unsigned slots = 3;
    RandomEngine m_random;
    unsigned m_allowance;
    Pool m_pool;
    TimePoint m_now;
    std::uint64_t m_next = 0;
    std::map<RequestId, bool> m_waiting; // Value: whether the request is long.
    std::map<RequestId, Running> m_running;
};

} // namespace

struct RandomRow {
    unsigned seed;
    unsigned allowance;
};

const RandomRow rows[] = { { 1, 0 }, { 2, 1 }, { 3, 1 }, { 4, 2 }, { 5, 0 } };

// Guards against requests that are lost or answered twice and against wrong slot counts, in event orders that no other
// test covers.
ParameterizedTestParameters(PoolInvariants, holdInRandomRuns) { return rowIndices(rows); }

ParameterizedTest(std::size_t* index, PoolInvariants, holdInRandomRuns)
{
    RandomRun(rows[*index].seed, rows[*index].allowance).run(20000);
}
