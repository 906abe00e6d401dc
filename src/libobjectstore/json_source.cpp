// Boost.JSON is used header-only; this file compiles its definitions once.
#include <boost/json/src.hpp>
