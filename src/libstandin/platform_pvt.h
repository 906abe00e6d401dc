#pragma once

/// @file
/// Parts of the stand-in of the platform that its sources share.

#include "citroncrank/standin_platform.h"

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>

namespace citroncrank {

struct standin_platform::waiting_watch
{
    std::shared_ptr<standin_exchange> exchange;
    std::string prefix;
    object_version from = 0;
    bool isStoreCall = false;
    boost::asio::steady_timer timer;
};

/// Answer to a watch in the form of the users' metadata store.
std::string storeEventsAsJson(const watch_result &result);

} // namespace citroncrank
