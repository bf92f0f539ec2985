// Routes, services and client accounts of one version of the configuration.
#pragma once

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

// What may be repeated.
enum class RequestKind
{
  // May run more than once.
  Safe,
  // Runs at most once for each attempt of a caller.
  Unsafe,
  // A series of events; may be repeated only where it is resumable.
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
  std::string m_host;
  // Begins and ends with a slash.
  std::string m_prefix;
  RequestKind m_kind = RequestKind::Unsafe;
  // Longest time that a caller is kept waiting.
  Duration m_timeout{};
  // Time to the whole answer, or to a stream's first event.
  Duration m_target{};
  // Longest pause between two events of a stream; zero: none is set.
  Duration m_gapTarget{};
  // 0 is the most urgent.
  std::uint32_t m_priority = 0;
  // Endpoints that one attempt of a caller may be sent to.
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

// One kind of accelerator under a service's engines.
struct AcceleratorKind
{
  std::string m_name;
  double m_memoryMb = 0;
  // Factors on the time of a step and on the time to read a prompt.
  double m_stepTimeFactor = 1;
  double m_prefillTimeFactor = 1;
};

// The model that a service's engines hold in ranges of layers.
struct LayeredModel
{
  std::uint32_t m_layers = 0;
  double m_layerMb = 0;
  // Memory of one token of a request over all layers.
  double m_tokenBytes = 0;
  // One token step through all layers on an engine of pace 1.
  double m_stepMs = 0;
  double m_prefillTokensPerSecond = 0;
  std::vector<AcceleratorKind> m_kinds;

  const AcceleratorKind* FindKind(std::string_view aName) const;
};

struct ServiceRule
{
  std::string m_name;
  std::string m_healthPath;
  // Connections that one endpoint accepts from all callers; 0: not limited.
  std::uint32_t m_maxConnections = 0;
  std::optional<LayeredModel> m_model;
};

struct AccountRule
{
  std::string m_name;
  std::vector<std::string> m_keys;
  // Goes before the route's priority.
  std::optional<std::uint32_t> m_priority;
};

// Bounds on what a caller sends.
struct CallerLimits
{
  std::size_t m_maxHeaderBytes = 16ULL * 1024;
  std::size_t m_maxBodyBytes = 4ULL * 1024 * 1024;
  Duration m_headerTimeout = std::chrono::seconds(3);
  Duration m_idleTimeout = std::chrono::seconds(15);
};

// A configuration as it was read, not yet checked.
struct RoutingDraft
{
  std::uint64_t m_version = 0;
  std::vector<RouteRule> m_routes;
  std::vector<ServiceRule> m_services;
  // Callers need a key only where this is true.
  bool m_hasAccounts = false;
  std::vector<AccountRule> m_accounts;
  CallerLimits m_limits;
};

enum class RoutingError
{
  None,
  // The text cannot be read in full.
  Unreadable,
  // A rule of the configuration is broken; the text names it.
  Invalid,
};
using RoutingReason = Reason<RoutingError>;

// A checked configuration with its indexes.
//
// Invariant: every service of a route is listed, no two routes share host and
// prefix, no two accounts share a key, weights of a route add up to more than
// zero, and no time-out is zero.
class RoutingConfig : public boost::intrusive_ref_counter<RoutingConfig>
{
public:
  static boost::intrusive_ptr<const RoutingConfig> Build(
    RoutingDraft aDraft,
    RoutingReason& aReason);

  std::uint64_t Version() const { return m_draft.m_version; }
  bool HasAccounts() const { return m_draft.m_hasAccounts; }
  const CallerLimits& Limits() const { return m_draft.m_limits; }
  const std::vector<RouteRule>& Routes() const { return m_draft.m_routes; }
  const std::vector<ServiceRule>& Services() const
  {
    return m_draft.m_services;
  }

  // The route with the longest prefix that begins the path; null if none.
  const RouteRule* FindRoute(std::string_view aHost,
                             std::string_view aPath) const;
  const AccountRule* FindAccount(std::string_view aKey) const;
  const ServiceRule* FindService(std::string_view aName) const;

private:
  using PrefixMap = std::unordered_map<std::string_view, const RouteRule*>;

  explicit RoutingConfig(RoutingDraft aDraft);
  bool Index(RoutingReason& aReason);
  bool IndexRoutes(RoutingReason& aReason);
  bool IndexAccounts(RoutingReason& aReason);

  RoutingDraft m_draft;
  // Keys point into m_draft.
  std::unordered_map<std::string_view, PrefixMap> m_hosts;
  std::unordered_map<std::string_view, const AccountRule*> m_keys;
  std::unordered_map<std::string_view, const ServiceRule*> m_services;
};

// Reads the text of a configuration document.
class RoutingConfigCodec
{
public:
  virtual ~RoutingConfigCodec() = default;
  // Null with a reason that names what is wrong and what was expected.
  virtual boost::intrusive_ptr<const RoutingConfig> Decode(
    std::string_view aText,
    RoutingReason& aReason) const = 0;
};

} // namespace parsleycove
