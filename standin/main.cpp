#include "standin.hpp"

#include "waxwingnotch/base/address.hpp"

#include <docopt/docopt.h>

#include <csignal>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>
#include <random>
#include <utility>
#include <vector>

namespace {

const char* const usage =
    R"(Stand-ins of the platform for the demo and the tests; not for production.

Usage:
  waxwingnotch-standin log [--listen=ADDRESS] [--port-file=FILE] [--retention=RECORDS]
  waxwingnotch-standin hosts [--listen=ADDRESS] [--port-file=FILE] [--lag-ms=MS]
  waxwingnotch-standin relay [--listen=ADDRESS] [--port-file=FILE]
  waxwingnotch-standin worker --host=NAME [--listen=ADDRESS] [--port-file=FILE] [--slots=N]
  waxwingnotch-standin ports <count>
  waxwingnotch-standin --help

Options:
  --listen=ADDRESS     ip:port to listen on; port 0 takes a free one [default: 127.0.0.1:0]
  --port-file=FILE     write the bound port to this file
  --retention=RECORDS  records that the log keeps [default: 1000000]
  --lag-ms=MS          how late a change shows in the host list [default: 1000]
  --host=NAME          name of the worker's host, for the list of processes
  --slots=N            tasks at a time [default: 8]
)";

using arguments = std::map<std::string, docopt::value>;

// The kernel gives ports from 32768 on to connections and to listeners on port 0. One of these took the port
// of a node that was not started yet in 23 of 4,000 trials of the start of a cluster.
constexpr int first_free_port = 10'000;
constexpr int first_kernel_port = 32'768;

/// Prints @p count different free ports. All stay bound until the last one is found.
int print_free_ports(long count)
{
    waxwingnotch::event_loop loop;
    std::random_device random;
    std::uniform_int_distribution<int> any_port(first_free_port, first_kernel_port - 1);
    std::vector<std::unique_ptr<waxwingnotch::http_server>> servers;
    while (std::ssize(servers) < count) {
        auto server = std::make_unique<waxwingnotch::http_server>(loop);
        const auto port = server->listen("127.0.0.1", static_cast<std::uint16_t>(any_port(random)));
        if (port) {
            std::cout << port.value() << "\n";
            servers.push_back(std::move(server));
        }
    }
    return 0;
}

standin::role make_role(waxwingnotch::event_loop& loop, arguments& options)
{
    if (options["log"].asBool()) {
        return standin::make_log(loop, options["--retention"].asLong());
    }
    if (options["hosts"].asBool()) {
        return standin::make_hosts(options["--lag-ms"].asLong());
    }
    if (options["relay"].asBool()) {
        return standin::make_relay(loop);
    }
    const auto slots = static_cast<std::uint32_t>(options["--slots"].asLong());
    return standin::make_worker(loop, slots);
}

/// Writes the port to a temporary file and renames it, so that a reader never sees an incomplete number.
/// @return false if the rename fails
bool write_port(const std::string& file, std::uint16_t port)
{
    const std::string temporary = file + ".new";
    std::ofstream(temporary) << port << "\n";
    return std::rename(temporary.c_str(), file.c_str()) == 0;
}

}  // namespace

int main(int argc, char** argv)
{
    arguments options = docopt::docopt(usage, {argv + 1, argv + argc}, true);
    if (options["ports"].asBool()) {
        return print_free_ports(options["<count>"].asLong());
    }
    waxwingnotch::event_loop loop;
    waxwingnotch::http_server server(loop);
    server.handle(make_role(loop, options));
    const waxwingnotch::endpoint address =
        waxwingnotch::parse_endpoint(options["--listen"].asString()).value_or(waxwingnotch::endpoint{});
    const auto port = server.listen(address.ip, address.port);
    if (!port) {
        std::cerr << port.error().message << "\n";
        return 1;
    }
    if (options["--port-file"] && !write_port(options["--port-file"].asString(), port.value())) {
        std::cerr << "cannot write " << options["--port-file"].asString() << "\n";
        return 1;
    }
    const auto stop = loop.on_signal(SIGTERM, [&] { loop.stop(); });
    loop.run();
    return 0;
}
