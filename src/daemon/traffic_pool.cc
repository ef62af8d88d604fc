#include "kumquatgauge/daemon/traffic_pool.h"

#include "kumquatgauge/base/error.h"

namespace kumquatgauge::daemon {
namespace {

// The io_context that this thread runs; null on other threads.
thread_local boost::asio::io_context* current_context = nullptr;

}  // namespace

TrafficPool::Thread::Thread(const ClientFactory& factory)
    : engine_(factory.engine(context_)),
      service_(factory.service(context_)),
      peer_(factory.peer(context_)) {}

TrafficPool::TrafficPool(std::size_t threads, const ClientFactory& factory) {
  for (auto index = std::size_t{0}; index < threads; ++index) {
    threads_.push_back(std::make_unique<Thread>(factory));
    guards_.push_back(boost::asio::make_work_guard(threads_.back()->context()));
  }
}

TrafficPool::~TrafficPool() {
  Stop();
}

auto TrafficPool::Start() -> void {
  for (auto& thread : threads_) {
    running_.emplace_back([context = &thread->context()] {
      current_context = context;
      context->run();
    });
  }
}

auto TrafficPool::Stop() -> void {
  guards_.clear();
  for (auto& thread : threads_) {
    thread->context().stop();
  }
  for (auto& thread : running_) {
    thread.join();
  }
  running_.clear();
}

auto TrafficPool::current() -> Thread& {
  for (auto& thread : threads_) {
    if (&thread->context() == current_context) {
      return *thread;
    }
  }
  throw Error(ErrorKind::kInternal, "not on a traffic thread", "traffic pool",
              "start the coroutine on a context of the pool");
}

auto TrafficPool::Next() -> Thread& {
  return *threads_[next_++ % threads_.size()];
}

auto TrafficPool::contexts() -> std::vector<boost::asio::io_context*> {
  auto contexts = std::vector<boost::asio::io_context*>();
  for (auto& thread : threads_) {
    contexts.push_back(&thread->context());
  }
  return contexts;
}

}  // namespace kumquatgauge::daemon
