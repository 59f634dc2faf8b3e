#include "Adapters/daemon.h"

#include "Adapters/daemon_state.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>

#include <glog/logging.h>

#include <csignal>
#include <utility>

namespace persimmonshelf {

namespace asio = boost::asio;

daemon::daemon(std::unique_ptr<state> owned)
  : state_(std::move(owned))
{
}

daemon::~daemon() = default;

result<std::unique_ptr<daemon>>
daemon::create(const instance_settings& settings)
{
  auto owned = std::make_unique<state>(settings);
  BOOST_OUTCOME_TRY(owned->bind_addresses());
  owned->make_engine();
  return std::unique_ptr<daemon>(new daemon(std::move(owned)));
}

bool
daemon::run()
{
  asio::signal_set signals(state_->main_context, SIGTERM, SIGINT);
  const auto work = asio::make_work_guard(state_->main_context);
  signals.async_wait([this](boost::system::error_code failure, int) {
    if (!failure) {
      asio::post(state_->engine_thread.context(), [this] { state_->begin_drain(); });
    }
  });
  LOG(INFO) << "instance=" << state_->settings.instance << " zone=" << state_->settings.zone
            << " started";
  state_->start();
  state_->main_context.run();
  state_->stop();
  return state_->drain_completed.load();
}

}
