// Holds the routes, services and client accounts of one version of the
// configuration.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "Base/Clock.h"
#include "Base/Reason.h"

namespace parsleycove {

// Whether a request may be sent again.
enum class RequestKind
{
  // May run more than once.
  Safe,
  // Runs at most once for each attempt of a caller.
  Unsafe,
  // The answer is a series of events; may be sent again only if the route is
  // resumable.
  Streaming,
};

struct WeightedService
{
  std::string m_service;
  std::uint32_t m_weight = 1;
};

struct RouteRule
{
  std::string m_name;
  // As the operator wrote it; compared in the form of NormalizeHost().
  std::string m_host;
  // Begins and ends with a slash.
  std::string m_prefix;
  RequestKind m_kind = RequestKind::Unsafe;
  // Longest time that a caller waits for the answer.
  Duration m_timeout{};
  // Target time to the whole answer, or to the first event of a stream.
  Duration m_target{};
  // Event gap target: longest pause between two events of a stream; zero if
  // there is no target.
  Duration m_gapTarget{};
  // 0 is the most urgent.
  std::uint32_t m_priority = 0;
  // Largest number of endpoints that one attempt of a caller may be sent to.
  std::uint32_t m_maxAttempts = 1;
  bool m_allowsAnonymous = false;
  bool m_isResumable = false;
  std::vector<WeightedService> m_services;

  bool CanRetry() const
  {
    return m_kind == RequestKind::Safe ||
           (m_kind == RequestKind::Streaming && m_isResumable);
  }
};

// One kind of accelerator that a service's engines use.
struct AcceleratorKind
{
  std::string m_name;
  double m_memoryMb = 0;
  // Factors on the time of a decode step and on the time to prefill a prompt.
  double m_stepTimeFactor = 1;
  double m_prefillTimeFactor = 1;
};

// The model whose layers a service's engines hold in ranges.
struct LayeredModel
{
  std::uint32_t m_layers = 0;
  double m_layerMb = 0;
  // KV cache memory of one token of a request over all layers.
  double m_tokenBytes = 0;
  // Time of one decode step through all layers on an engine with a step time
  // factor of 1.
  double m_stepMs = 0;
  double m_prefillTokensPerSecond = 0;
  // Prompt tokens that an engine reads in one pass; 0 if not known.
  double m_chunkTokens = 0;
  // Decode steps of the running streams in the pass that reads a chunk.
  double m_stepsPerPass = 1;
  // Further prefill time per million pairs of a token and an earlier token.
  double m_pairsMsPerMillion = 0;
  // Mean length of a prompt; 0 if not known.
  double m_usualPromptTokens = 0;
  // Mean length of an answer; 0 if not known.
  double m_usualAnswerTokens = 0;
  std::vector<AcceleratorKind> m_kinds;

  const AcceleratorKind* FindKind(std::string_view aName) const;
};

struct ServiceRule
{
  std::string m_name;
  std::string m_healthPath;
  // Connections that one endpoint accepts from all callers; 0 if not limited.
  std::uint32_t m_maxConnections = 0;
  std::optional<LayeredModel> m_model;
};

struct AccountRule
{
  std::string m_name;
  std::vector<std::string> m_keys;
  // Takes precedence over the route's priority.
  std::optional<std::uint32_t> m_priority;
};

// Limits on the data that a caller sends.
struct CallerLimits
{
  std::size_t m_maxHeaderBytes = 16ULL * 1024;
  std::size_t m_maxBodyBytes = 4ULL * 1024 * 1024;
  Duration m_headerTimeout = std::chrono::seconds(3);
  Duration m_idleTimeout = std::chrono::seconds(15);
};

// Where a configuration comes from.
enum class DocumentOrigin
{
  // An operator sends it. It is refused if it breaks a rule.
  Offered,
  // The control group has accepted it, perhaps under an earlier release whose
  // rules refused less.
  Accepted,
};

// A configuration as decoded, before it is checked.
struct RoutingDraft
{
  std::uint64_t m_version = 0;
  std::vector<RouteRule> m_routes;
  std::vector<ServiceRule> m_services;
  // If true, callers need a key.
  bool m_hasAccounts = false;
  std::vector<AccountRule> m_accounts;
  CallerLimits m_limits;
};

enum class RoutingError
{
  None,
  // The text cannot be decoded completely.
  Unreadable,
  // The configuration breaks a rule; the reason's text names the rule.
  Invalid,
};
using RoutingReason = Reason<RoutingError>;

// A checked configuration with its indexes.
//
// Invariant: every service that a route uses is listed, no two routes share
// host and prefix, no two accounts share a key, the weights of a route add up
// to more than zero, and no time-out is zero.
class RoutingConfig : public boost::intrusive_ref_counter<RoutingConfig>
{
public:
  static boost::intrusive_ptr<const RoutingConfig> Build(
    RoutingDraft aDraft,
    RoutingReason& aReason,
    DocumentOrigin aOrigin = DocumentOrigin::Offered);

  std::uint64_t Version() const { return m_draft.m_version; }
  bool HasAccounts() const { return m_draft.m_hasAccounts; }
  const CallerLimits& Limits() const { return m_draft.m_limits; }
  const std::vector<RouteRule>& Routes() const { return m_draft.m_routes; }
  const std::vector<ServiceRule>& Services() const
  {
    return m_draft.m_services;
  }
  const std::vector<AccountRule>& Accounts() const
  {
    return m_draft.m_accounts;
  }

  // Returns the route whose prefix is the longest one at the start of the path,
  // or nullptr if there is none. aHost is the Host header of a request.
  const RouteRule* FindRoute(std::string_view aHost,
                             std::string_view aPath) const;
  const AccountRule* FindAccount(std::string_view aKey) const;
  const ServiceRule* FindService(std::string_view aName) const;

private:
  using PrefixMap = std::unordered_map<std::string_view, const RouteRule*>;

  RoutingConfig(RoutingDraft aDraft, DocumentOrigin aOrigin);
  bool Index(RoutingReason& aReason);
  bool IndexRoutes(RoutingReason& aReason);
  // Returns false if another route has the host and the prefix.
  bool IndexRoute(const RouteRule& aRoute);
  bool IndexAccounts(RoutingReason& aReason);

  RoutingDraft m_draft;
  DocumentOrigin m_origin;
  // By NormalizeHost(). The prefixes and the keys of the other maps point into
  // m_draft.
  std::unordered_map<std::string, PrefixMap> m_hosts;
  std::size_t m_longestPrefix = 0;
  std::unordered_map<std::string_view, const AccountRule*> m_keys;
  std::unordered_map<std::string_view, const ServiceRule*> m_services;
};

// Decodes the text of a configuration document.
class RoutingConfigCodec
{
public:
  virtual ~RoutingConfigCodec() = default;
  // Returns nullptr on failure and sets aReason to the fault and the expected
  // value.
  virtual boost::intrusive_ptr<const RoutingConfig> Decode(
    std::string_view aText,
    RoutingReason& aReason,
    DocumentOrigin aOrigin) const = 0;
};

} // namespace parsleycove
