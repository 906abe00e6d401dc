// Boost.JSON is used without its compiled library; this file holds its only definitions.
#include <boost/json/src.hpp>
