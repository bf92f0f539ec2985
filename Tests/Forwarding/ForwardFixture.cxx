// Runs a forwarding gateway, stub endpoints and callers on one thread.
#include "Forwarding/ForwardFixture.h"

#include <algorithm>

#include <boost/asio/write.hpp>

#include "State/NamedEntities.h"

namespace parsleycove {

namespace {

constexpr std::chrono::seconds kTestTimeout{ 20 };
constexpr std::chrono::milliseconds kPollInterval{ 5 };

constexpr char kConfig[] = R"({"routes":[
{"name":"safe","host":"one.example","path-prefix":"/safe/","kind":"safe",
 "timeout-ms":1000,"target-latency-ms":100,"service":"plain","max-attempts":2},
{"name":"unsafe","host":"one.example","path-prefix":"/unsafe/","kind":"unsafe",
 "timeout-ms":1000,"target-latency-ms":100,"service":"plain","max-attempts":2},
{"name":"stream","host":"one.example","path-prefix":"/stream/",
 "kind":"streaming","resumable":true,"timeout-ms":20000,
 "target-latency-ms":500,"service":"model","max-attempts":2},
{"name":"aimed","host":"one.example","path-prefix":"/aimed/",
 "kind":"streaming","resumable":true,"timeout-ms":20000,
 "target-latency-ms":1,"target-gap-ms":1,"service":"model","max-attempts":2},
{"name":"once","host":"one.example","path-prefix":"/once/","kind":"streaming",
 "timeout-ms":20000,"target-latency-ms":500,"service":"model",
 "max-attempts":2}],
"services":[{"name":"plain"},{"name":"model","engine":{"layers":4,
 "layer-mb":10,"kv-token-bytes":1000,"step_ms":1,"read_per_s":1000,
 "kinds":[{"name":"card","mb":1000,"pace":1,"read-x":1}]}}],
"limits":{"max-header-bytes":2048,"max-body-bytes":)";

constexpr char kPlainConfig[] = R"({"routes":[
{"name":"safe","host":"one.example","path-prefix":"/safe/","kind":"safe",
 "timeout-ms":1000,"target-latency-ms":100,"service":"plain","max-attempts":2}],
"services":[{"name":"plain"}],
"limits":{"max-header-bytes":2048,"max-body-bytes":4096},
"tenants":[{"name":"account-1","api-keys":["k1"]}],)";

// Replaces a value of the configuration wherever the name has it.
void
ReplaceValue(std::string& aText, const std::string& aName, int aFrom, int aTo)
{
  const std::string old = aName + std::to_string(aFrom) + ',';
  const std::string value = aName + std::to_string(aTo) + ',';
  for (auto place = aText.find(old); place != std::string::npos;
       place = aText.find(old, place + value.size())) {
    aText.replace(place, old.size(), value);
  }
}

} // namespace

ForwardFixture::ForwardFixture()
{
  m_options.m_vm = "vm-1";
  m_options.m_zone = "zone-a";
  m_options.m_listen = { "127.0.0.1", 0 };
  m_options.m_readiness = { "127.0.0.1", 0 };
  m_options.m_takeover = SocketAddress{ "127.0.0.1", 0 };
  m_options.m_drainGrace = std::chrono::milliseconds(100);
}

ForwardFixture::~ForwardFixture()
{
  m_context.DropOperations();
  m_secondGateway.reset();
  m_gateway.reset();
  m_links.clear();
  m_endpoints.clear();
}

void
ForwardFixture::PutConfig(std::uint64_t aVersion, const std::string& aAccounts)
{
  const std::string accounts =
    aAccounts.empty() ? R"({"name":"account-1","api-keys":["k1"]})" : aAccounts;
  std::string text = kConfig;
  ReplaceValue(text, "\"target-latency-ms\":", 500, m_streamTargetMs);
  ReplaceValue(text, "\"timeout-ms\":", 1000, m_plainTimeoutMs);
  text += std::to_string(m_maxBodyBytes) + "},\"tenants\":[" + accounts + "],";
  PutDocument(aVersion, text);
}

void
ForwardFixture::PutConfigWithoutModel(std::uint64_t aVersion)
{
  PutDocument(aVersion, kPlainConfig);
}

void
ForwardFixture::PutDocument(std::uint64_t aVersion, const std::string& aText)
{
  state::PutDocumentT put;
  put.document = std::make_unique<state::RoutingDocumentT>();
  put.document->version = aVersion;
  put.document->text = aText + "\"version\":" + std::to_string(aVersion) + "}";
  state::CommandT command;
  command.body.Set(std::move(put));
  m_control.Apply(command);
}

StubEndpoint&
ForwardFixture::Announce(state::EndpointT aEndpoint)
{
  StubEndpoint& endpoint = m_endpoints.emplace_back(m_context);
  aEndpoint.id = IdOf(endpoint);
  aEndpoint.address = "127.0.0.1";
  aEndpoint.port = endpoint.Port();
  aEndpoint.zone = "zone-a";
  aEndpoint.incarnation = 1;
  aEndpoint.report = 1;
  aEndpoint.slots = 8;
  state::AnnounceEndpointT announce;
  announce.endpoint = std::make_unique<state::EndpointT>(aEndpoint);
  state::CommandT command;
  command.body.Set(std::move(announce));
  m_control.Apply(command);
  return endpoint;
}

StubEndpoint&
ForwardFixture::AddPlainEndpoint()
{
  state::EndpointT endpoint;
  endpoint.kind = state::EndpointKind::PlainService;
  endpoint.service = "plain";
  return Announce(std::move(endpoint));
}

StubEndpoint&
ForwardFixture::AddEngine(std::uint32_t aFirst, std::uint32_t aEnd)
{
  state::EndpointT endpoint;
  endpoint.kind = state::EndpointKind::ManagedEngine;
  endpoint.service = "model";
  endpoint.accelerator = "card";
  endpoint.first_layer = aFirst;
  endpoint.layer_count = aEnd - aFirst;
  return Announce(std::move(endpoint));
}

void
ForwardFixture::ReportSuspected(const StubEndpoint& aEndpoint)
{
  state::SuspectEndpointT suspect;
  suspect.endpoint = std::make_unique<state::EndpointRefT>();
  suspect.endpoint->id = IdOf(aEndpoint);
  suspect.endpoint->incarnation = 1;
  state::CommandT command;
  command.body.Set(std::move(suspect));
  m_control.Apply(command);
}

void
ForwardFixture::AnnounceAgain(const StubEndpoint& aEndpoint)
{
  const auto view = m_control.View();
  for (const auto& listed : view->Image().endpoints) {
    if (listed->id == IdOf(aEndpoint)) {
      state::AnnounceEndpointT announce;
      announce.endpoint = std::make_unique<state::EndpointT>(*listed);
      announce.endpoint->suspected = false;
      ++announce.endpoint->report;
      state::CommandT command;
      command.body.Set(std::move(announce));
      m_control.Apply(command);
      return;
    }
  }
}

void
ForwardFixture::AnnounceNewStart(const std::string& aId)
{
  const auto view = m_control.View();
  state::AnnounceEndpointT announce;
  announce.endpoint = std::make_unique<state::EndpointT>(
    *FindEntity(view->Image().endpoints, aId));
  ++announce.endpoint->incarnation;
  announce.endpoint->suspected = false;
  announce.endpoint->report = 1;
  state::CommandT command;
  command.body.Set(std::move(announce));
  m_control.Apply(command);
}

void
ForwardFixture::DropFromList(const StubEndpoint& aEndpoint)
{
  const std::string id = IdOf(aEndpoint);
  const auto view = m_control.View();
  m_dropped[id] = *FindEntity(view->Image().endpoints, id);
  state::DropEndpointsT drop;
  drop.endpoints.push_back(std::make_unique<state::EndpointRefT>());
  drop.endpoints.back()->id = id;
  drop.endpoints.back()->incarnation = m_dropped[id].incarnation;
  state::CommandT command;
  command.body.Set(std::move(drop));
  m_control.Apply(command);
}

void
ForwardFixture::ListAgain(const StubEndpoint& aEndpoint)
{
  state::AnnounceEndpointT announce;
  announce.endpoint =
    std::make_unique<state::EndpointT>(m_dropped.at(IdOf(aEndpoint)));
  announce.endpoint->suspected = false;
  ++announce.endpoint->report;
  state::CommandT command;
  command.body.Set(std::move(announce));
  m_control.Apply(command);
}

std::string
ForwardFixture::IdOf(const StubEndpoint& aEndpoint) const
{
  return "e-" + std::to_string(aEndpoint.Port());
}

void
ForwardFixture::Start()
{
  m_gateway = std::make_unique<ForwardGateway>(
    m_context, m_options, m_dialect, m_codec, m_rewired, m_log, m_metrics);
  std::string reason;
  if (!m_gateway->Start(reason)) {
    std::abort();
  }
}

void
ForwardFixture::LinkFirstGateway()
{
  for (const StubEndpoint& endpoint : m_endpoints) {
    const EndpointLink& link = m_links.emplace_back(m_context, endpoint.Port());
    m_rewired.Rewire(endpoint.Port(), link.Port());
  }
}

void
ForwardFixture::SetLinks(LinkState aState)
{
  for (EndpointLink& link : m_links) {
    link.Set(aState);
  }
}

EndpointLink&
ForwardFixture::LinkOf(const StubEndpoint& aEndpoint)
{
  for (std::size_t i = 0; i < m_links.size(); ++i) {
    if (&m_endpoints[i] == &aEndpoint) {
      return m_links[i];
    }
  }
  std::abort();
}

std::uint16_t
ForwardFixture::StartSecondGateway()
{
  m_control.SetGatewayCount(2);
  ForwardOptions options = m_options;
  options.m_vm = "vm-2";
  options.m_seed = m_options.m_seed + 1;
  m_secondGateway = std::make_unique<ForwardGateway>(
    m_context, options, m_dialect, m_codec, m_control, m_log, m_secondMetrics);
  std::string reason;
  if (!m_secondGateway->Start(reason)) {
    std::abort();
  }
  return m_secondGateway->Port();
}

bool
ForwardFixture::RunUntil(const std::function<bool()>& aCondition)
{
  const TimePoint deadline = BootClock::now() + kTestTimeout;
  while (!aCondition()) {
    if (BootClock::now() > deadline) {
      return false;
    }
    m_context.run_one_for(kPollInterval);
    m_context.restart();
  }
  return true;
}

int
ForwardFixture::MetricOf(const std::string& aName) const
{
  const std::string page = m_metrics.Print();
  const auto place = page.find("\n" + aName + " ");
  return place == std::string::npos
           ? -1
           : std::atoi(page.c_str() + place + aName.size() + 2);
}

ForwardFixture::Caller::Caller(ForwardFixture& aFixture, std::uint16_t aPort)
  : m_socket(aFixture.m_context)
{
  m_socket.connect({ boost::asio::ip::make_address("127.0.0.1"), aPort });
  Read();
}

void
ForwardFixture::Caller::Send(const std::string& aBytes)
{
  boost::system::error_code error;
  m_socket.non_blocking(true);
  const std::size_t sent = asio::write(m_socket, asio::buffer(aBytes), error);
  if (!error) {
    return;
  }
  if (error != asio::error::would_block) {
    throw boost::system::system_error(error);
  }
  // What the socket does not hold is sent while the test runs.
  m_unsent = aBytes.substr(sent);
  asio::async_write(m_socket, asio::buffer(m_unsent), [](auto, std::size_t) {});
}

void
ForwardFixture::Caller::Read()
{
  m_socket.async_read_some(
    boost::asio::buffer(m_chunk),
    [this](const boost::system::error_code& aError, std::size_t aBytes) {
      m_received.append(m_chunk.data(), aBytes);
      if (aError) {
        m_closed = true;
      } else {
        Read();
      }
    });
}

std::unique_ptr<ForwardFixture::Caller>
ForwardFixture::Connect(std::uint16_t aPort)
{
  return std::make_unique<Caller>(*this,
                                  aPort != 0 ? aPort : m_gateway->Port());
}

std::string
ForwardFixture::SendRequest(const std::string& aMethod,
                            const std::string& aPath,
                            const std::string& aExtraHeaders,
                            const std::string& aBody,
                            std::uint16_t aPort)
{
  const auto caller = Connect(aPort);
  caller->Send(MakeRequest(
    aMethod, aPath, aExtraHeaders + "Connection: close\r\n", aBody));
  if (!RunUntil([&] { return caller->IsClosed(); })) {
    return "no answer";
  }
  return caller->Received();
}

std::string
MakeRequest(const std::string& aMethod,
            const std::string& aPath,
            const std::string& aExtraHeaders,
            const std::string& aBody)
{
  const std::string length =
    aBody.empty() ? ""
                  : "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
  return aMethod + " " + aPath +
         " HTTP/1.1\r\nHost: one.example\r\nAttempt-Id: a1\r\n"
         "Deadline-Ms: 5000\r\nAuthorization: Bearer k1\r\n" +
         aExtraHeaders + length + "\r\n" + aBody;
}

int
StatusOf(const std::string& aAnswer)
{
  constexpr std::size_t kStatusPlace = 9;
  return aAnswer.size() > kStatusPlace + 3
           ? std::atoi(aAnswer.c_str() + kStatusPlace)
           : 0;
}

std::vector<int>
EventsOf(const std::string& aAnswer)
{
  std::vector<int> ids;
  for (auto place = aAnswer.find("id: "); place != std::string::npos;
       place = aAnswer.find("id: ", place + 1)) {
    ids.push_back(std::atoi(aAnswer.c_str() + place + 4));
  }
  return ids;
}

bool
IsComplete(const std::string& aAnswer)
{
  return aAnswer.ends_with("\r\n0\r\n\r\n");
}

StubEndpoint::Script
WithEngineState(StubEndpoint::Script aScript)
{
  return [script = std::move(aScript)](const HttpRequest& aRequest) {
    if (aRequest.target() == "/parsleycove/report") {
      return std::vector<StubStep>{ Send(
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}") };
    }
    if (aRequest.target() == kOrderTarget) {
      return std::vector<StubStep>{ Send(
        "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n") };
    }
    return script(aRequest);
  };
}

std::string
AttemptIdOf(const HttpRequest& aRequest)
{
  return std::string(aRequest["Attempt-Id"]);
}

std::size_t
AttemptsAt(const StubEndpoint& aEndpoint)
{
  const auto& requests = aEndpoint.Requests();
  return static_cast<std::size_t>(std::count_if(
    requests.begin(), requests.end(), [](const HttpRequest& aRequest) {
      return !AttemptIdOf(aRequest).empty();
    }));
}

double
RetryAfterOf(const std::string& aAnswer)
{
  constexpr std::string_view kName = "Retry-After: ";
  const auto place = aAnswer.find(kName);
  return place == std::string::npos
           ? -1
           : std::stod(aAnswer.substr(place + kName.size()));
}

} // namespace parsleycove
