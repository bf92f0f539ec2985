// Finds the handler of a request by method and path.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "Wire/Http.h"

namespace parsleycove {

class Handler;

enum class PathMatch
{
  Exact,
  Prefix,
};

// A table of routes; the first that fits wins.
class RequestRouter
{
public:
  RequestRouter();
  ~RequestRouter();

  // The verb `unknown` stands for any method.
  void Add(http::verb aVerb,
           PathMatch aMatch,
           std::string aPath,
           std::unique_ptr<Handler> aHandler);

  struct Found
  {
    Handler* m_handler = nullptr;
    // The path is known, but not with this method.
    bool m_otherMethod = false;
  };
  Found Find(http::verb aVerb, std::string_view aPath) const;

private:
  struct Route
  {
    http::verb m_verb;
    PathMatch m_match;
    std::string m_path;
    std::unique_ptr<Handler> m_handler;
  };
  std::vector<Route> m_routes;
};

} // namespace parsleycove
