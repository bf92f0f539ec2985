// A discrete-event model of servers behind one admission controller.
#include "Routing/QueueModel.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <set>

namespace parsleycove {

namespace {

constexpr TimePoint kStart{ std::chrono::seconds(1000) };
const std::string kResource = "m";

struct Request
{
  std::size_t m_stream = 0;
  TimePoint m_sentAt;
  TimePoint m_deadline;
};

class Model
{
public:
  explicit Model(const QueueModelSettings& aSettings)
    : m_settings(aSettings)
    , m_random(aSettings.m_seed)
    , m_freeServers(aSettings.m_servers)
  {
    const double service =
      std::chrono::duration<double>(aSettings.m_service).count();
    m_controller.SetCapacity(
      kStart, kResource, static_cast<double>(aSettings.m_servers) / service);
  }

  QueueModelResult Run()
  {
    for (std::size_t i = 0; i < m_settings.m_arrivals.size(); ++i) {
      ScheduleArrival(kStart, i);
    }
    for (;;) {
      const TimePoint nextEvent =
        m_events.empty() ? TimePoint::max() : m_events.begin()->first;
      const TimePoint nextTick = m_controller.NextDeadline();
      if (nextEvent == TimePoint::max() && nextTick == TimePoint::max()) {
        break;
      }
      if (nextTick < nextEvent) {
        m_now = nextTick;
      } else {
        m_now = nextEvent;
        const Event event = m_events.begin()->second;
        m_events.erase(m_events.begin());
        event.m_isArrival ? Arrive(event.m_number) : Complete(event.m_number);
      }
      TakeReady();
    }
    m_result.m_unanswered = m_requests.size();
    return m_result;
  }

private:
  struct Event
  {
    bool m_isArrival = false;
    std::uint64_t m_number = 0;
  };

  AccountResult& ResultOf(std::size_t aStream)
  {
    return m_result.m_accounts[m_settings.m_arrivals[aStream].m_account];
  }

  void ScheduleArrival(TimePoint aFrom, std::size_t aStream)
  {
    const double perSecond = m_settings.m_arrivals[aStream].m_perSecond;
    const double gap = -std::log(1.0 - m_random.Fraction()) / perSecond;
    const TimePoint at = aFrom + Duration(static_cast<std::int64_t>(gap * 1e9));
    if (at < kStart + m_settings.m_length) {
      m_events.emplace(at, Event{ true, aStream });
    }
  }

  void Arrive(std::size_t aStream)
  {
    ScheduleArrival(m_now, aStream);
    const ArrivalStream& stream = m_settings.m_arrivals[aStream];
    const std::uint64_t id = ++m_lastId;
    const TimePoint deadline = m_now + stream.m_targets.m_completion;
    m_requests[id] = { aStream, m_now, deadline };
    ++m_result.m_total.m_sent;
    ++ResultOf(aStream).m_sent;
    if (!m_settings.m_admission) {
      Begin(id);
      return;
    }
    const AdmissionRequest request{ id,        stream.m_account,
                                    kResource, stream.m_targets,
                                    1,         deadline };
    const AdmissionDecision decision = m_controller.Submit(m_now, request);
    if (decision.m_status == AdmissionStatus::Admitted) {
      Begin(id);
    } else if (decision.m_status == AdmissionStatus::Refused) {
      Refuse(id, decision.m_retryAfter);
    }
  }

  void TakeReady()
  {
    const AdmissionBatch batch = m_controller.TakeReady(m_now);
    for (const std::uint64_t id : batch.m_start) {
      Begin(id);
    }
    for (const RefusedRequest& refused : batch.m_refused) {
      Refuse(refused.m_id, refused.m_retryAfter);
    }
  }

  void Refuse(std::uint64_t aId, Duration aRetryAfter)
  {
    const Request request = m_requests.at(aId);
    m_requests.erase(aId);
    ++m_result.m_total.m_refused;
    ++ResultOf(request.m_stream).m_refused;
    m_result.m_refusedTooLate += m_now > request.m_deadline ? 1 : 0;
    m_result.m_refusedWithoutRetryAfter +=
      aRetryAfter <= Duration::zero() ? 1 : 0;
    m_result.m_longestRefusal =
      std::max(m_result.m_longestRefusal, m_now - request.m_sentAt);
  }

  void Begin(std::uint64_t aId)
  {
    m_serverQueue.push_back(aId);
    Serve();
  }

  void Serve()
  {
    while (m_freeServers > 0 && !m_serverQueue.empty()) {
      --m_freeServers;
      const double share = 0.5 + m_random.Fraction();
      const auto taken = Duration(static_cast<std::int64_t>(
        share * static_cast<double>(m_settings.m_service.count())));
      m_events.emplace(m_now + taken, Event{ false, m_serverQueue.front() });
      m_serverQueue.pop_front();
    }
  }

  void Complete(std::uint64_t aId)
  {
    const Request request = m_requests.at(aId);
    m_requests.erase(aId);
    ++m_freeServers;
    const bool inTime = m_now <= request.m_deadline;
    AccountResult& account = ResultOf(request.m_stream);
    ++(inTime ? m_result.m_total.m_inTime : m_result.m_total.m_late);
    ++(inTime ? account.m_inTime : account.m_late);
    m_controller.Finish(m_now, aId, { inTime, 1 });
    Serve();
  }

  const QueueModelSettings& m_settings;
  Random m_random;
  AdmissionController m_controller;
  std::multimap<TimePoint, Event> m_events;
  std::map<std::uint64_t, Request> m_requests;
  std::deque<std::uint64_t> m_serverQueue;
  std::size_t m_freeServers;
  std::uint64_t m_lastId = 0;
  TimePoint m_now = kStart;
  QueueModelResult m_result;
};

} // namespace

QueueModelResult
RunQueueModel(const QueueModelSettings& aSettings)
{
  return Model(aSettings).Run();
}

} // namespace parsleycove
