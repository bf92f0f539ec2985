// Finds the handler of a request by method and path.
#include "Gateway/RequestRouter.h"

#include <utility>

#include "Gateway/Handler.h"

namespace parsleycove {

RequestRouter::RequestRouter() = default;
RequestRouter::~RequestRouter() = default;

void
RequestRouter::Add(http::verb aVerb,
                   PathMatch aMatch,
                   std::string aPath,
                   std::unique_ptr<Handler> aHandler)
{
  m_routes.push_back({ aVerb, aMatch, std::move(aPath), std::move(aHandler) });
}

RequestRouter::Found
RequestRouter::Find(http::verb aVerb, std::string_view aPath) const
{
  Found found;
  for (const Route& route : m_routes) {
    const bool fits = route.m_match == PathMatch::Exact
                        ? aPath == route.m_path
                        : aPath.substr(0, route.m_path.size()) == route.m_path;
    if (!fits) {
      continue;
    }
    if (route.m_verb == aVerb || route.m_verb == http::verb::unknown) {
      return { route.m_handler.get(), false };
    }
    found.m_otherMethod = true;
  }
  return found;
}

} // namespace parsleycove
