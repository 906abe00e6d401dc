#pragma once

/// @file
/// Internal declarations shared by the sources of the stand-in platform.

#include "citroncrank/standin_platform.h"

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>

namespace citroncrank {

struct standin_platform::waiting_watch
{
    std::shared_ptr<standin_exchange> exchange;
    std::string prefix;
    write_number from = 0;
    bool isStoreCall = false;
    boost::asio::steady_timer timer;
};

/// Response to a watch in the JSON format of the users' metadata store.
std::string storeEventsAsJson(const watch_result &result);

} // namespace citroncrank
