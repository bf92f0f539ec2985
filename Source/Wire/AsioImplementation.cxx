// The one unit that compiles Asio; every other unit only declares it.
#include <boost/asio/impl/src.hpp>
