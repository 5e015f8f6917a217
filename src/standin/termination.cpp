#include "termination.h"

#include <QCoreApplication>
#include <QSocketNotifier>

#include <csignal>

#include <sys/signalfd.h>

namespace citronlug::standin {

auto quit_on_signals() -> void {
    auto signals = sigset_t{};
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigprocmask(SIG_BLOCK, &signals, nullptr);
    const auto descriptor = signalfd(-1, &signals, SFD_CLOEXEC | SFD_NONBLOCK);
    auto* const notifier =
        new QSocketNotifier(descriptor, QSocketNotifier::Read, QCoreApplication::instance());
    QObject::connect(notifier, &QSocketNotifier::activated, [] { QCoreApplication::quit(); });
}

} // namespace citronlug::standin
