/// @file
/// Help texts. docopt derives the syntax of the command line from them.
#pragma once

namespace waxwingnotch {

constexpr const char* usage_overview =
    R"(waxwingnotch keeps pools of hosts at the capacity that their budgets promise, and explains every move.

Usage:
  waxwingnotch <command> [<options>]
  waxwingnotch <command> --help
  waxwingnotch --version

Commands:
  serve     run an entry node
  node      run an entry node on the users' platform: jobs, shards, maintenance
  check     validate settings, inventory and rules without touching the platform
  publish   put a new inventory or new rules in force
  watch     follow a version until it is in force on every entry node
  status    show one or more entry nodes
  explain   why a host is in its pool, or what happened to a request
  audit     every move of a host, with the authority that it rests on
  drain     ask a host or an entry node to leave
  restore   return a drained host to its pool
  wave      pause or resume the maintenance wave

Exit codes:
  0  done
  1  the input has errors, or nothing was found
  2  the command line is wrong
  3  serve: requests were still open at the drain limit and were cut
  4  another version is in force
  5  the platform or the entry node cannot be reached; nothing was changed
  6  the change may or may not have taken effect
)";

constexpr const char* usage_serve =
    R"(Runs an entry node until SIGTERM, SIGINT or a drain request.

Usage:
  waxwingnotch serve --settings=FILE
  waxwingnotch serve --help

Options:
  --settings=FILE  TOML settings of this node
  --help           show this text

A planned stop fails the balancer's check first, then closes the listener, then finishes the
requests in flight, at most for limits.drain_limit_ms.
)";

constexpr const char* usage_node =
    R"(Runs an entry node on the users' platform until SIGTERM or SIGINT.

Usage:
  waxwingnotch node [--settings=FILE] [--metrics-port=PORT]
  waxwingnotch node --help

Options:
  --settings=FILE      the platform's settings of this node; without it, WAXWINGNOTCH_CONFIG names the file
  --metrics-port=PORT  where metrics are served, at /metrics; 0: nowhere [default: 9464]
  --help               show this text

SIGHUP reads the settings again. A planned stop gives the shards to other nodes first, then finishes
the requests in flight.
)";

constexpr const char* usage_check =
    R"(Validates files without touching the platform and lists every finding with its place.

Usage:
  waxwingnotch check [--settings=FILE] [--inventory=FILE] [--rules=FILE]
  waxwingnotch check --help

Options:
  --settings=FILE   TOML settings of an entry node
  --inventory=FILE  TOML inventory
  --rules=FILE      TOML rules
  --help            show this text

With both an inventory and rules, they are also checked against one another.
Exit code 1 if any finding is an error.
)";

constexpr const char* usage_publish =
    R"(Appends a new inventory or new rules to the platform's log.

Usage:
  waxwingnotch publish (--inventory=FILE | --rules=FILE) --log=ADDRESS --author=NAME --replaces=VERSION
                       [--note=TEXT] [--dry-run]
  waxwingnotch publish --help

Options:
  --inventory=FILE    TOML inventory to put in force
  --rules=FILE        TOML rules to put in force
  --log=ADDRESS       ip:port of the platform's log
  --author=NAME       on whose authority; shown to auditors
  --replaces=VERSION  version that this one was made from; 0 for the first
  --note=TEXT         why; shown to auditors [default: ]
  --dry-run           show what would follow and append nothing
  --help              show this text

A dry run lists each move and drain with its reason, the pools touched, the number of steps and
an estimate of the time, from the state that the log has now. Steps that are due anyway are
among them. Exit code 1 if the log would refuse the version.

If another version is in force, nothing changes, its author is named, and the exit code is 4.
To back out, publish the old content again as a new version.
)";

constexpr const char* usage_watch =
    R"(Follows the versions in force, entry node by entry node, until all agree.

Usage:
  waxwingnotch watch --node=ADDRESS... [--inventory-version=N] [--rules-version=N] [--timeout-ms=MS]
  waxwingnotch watch --help

Options:
  --node=ADDRESS         ip:port of an entry node; repeat for each
  --inventory-version=N  wait for this version of the inventory [default: 0]
  --rules-version=N      wait for this version of the rules [default: 0]
  --timeout-ms=MS        give up after this time [default: 30000]
  --help                 show this text

On a terminal a progress line is rewritten; else each change is one JSON line.
Exit code 1 if the time is over first.
)";

constexpr const char* usage_status =
    R"(Shows entry nodes: phase, offset, versions in force, members, pools.

Usage:
  waxwingnotch status --node=ADDRESS... [--watch] [--inventory-version=N] [--rules-version=N]
                      [--timeout-ms=MS]
  waxwingnotch status --help

Options:
  --node=ADDRESS         ip:port of an entry node; repeat for each
  --watch                the same as the command watch
  --inventory-version=N  with --watch: wait for this version of the inventory [default: 0]
  --rules-version=N      with --watch: wait for this version of the rules [default: 0]
  --timeout-ms=MS        with --watch: give up after this time [default: 30000]
  --help                 show this text
)";

constexpr const char* usage_explain =
    R"(Says why a host is in its pool, how a pool stands, or what happened to a request.

Usage:
  waxwingnotch explain (host | pool | request) <name> --node=ADDRESS...
  waxwingnotch explain --help

Options:
  --node=ADDRESS  ip:port of an entry node; repeat for each. A request is known to the node that
                  received it; the first node that knows the name answers.
  --help          show this text
)";

constexpr const char* usage_audit =
    R"(Lists the accepted decisions from the platform's log: moves, drains, publications.
Verifies the hash chain of the sealed ones. What is missing or was changed is named on
standard error, and the exit code is 1.

Usage:
  waxwingnotch audit --log=ADDRESS [--host=NAME] [--json]
  waxwingnotch audit --help

Options:
  --log=ADDRESS  ip:port of the platform's log
  --host=NAME    only this host
  --json         one JSON line per entry
  --help         show this text
)";

constexpr const char* usage_drain =
    R"(Asks a host or an entry node to leave. Requests in flight are finished.

Usage:
  waxwingnotch drain host <name> --log=ADDRESS --author=NAME --reason=TEXT
  waxwingnotch drain node --node=ADDRESS
  waxwingnotch drain --help

Options:
  --log=ADDRESS   ip:port of the platform's log
  --author=NAME   on whose authority; shown to auditors
  --reason=TEXT   why; shown to auditors
  --node=ADDRESS  ip:port of the entry node that shall stop
  --help          show this text

The drain of a host is refused with exit code 4 if a service would fall below its budget.
)";

constexpr const char* usage_restore =
    R"(Returns a host that is draining or drained to its pool.

Usage:
  waxwingnotch restore host <name> --log=ADDRESS --author=NAME --reason=TEXT
  waxwingnotch restore --help

Options:
  --log=ADDRESS   ip:port of the platform's log
  --author=NAME   on whose authority; shown to auditors
  --reason=TEXT   why; shown to auditors
  --help          show this text

A host that serves already is refused with exit code 4.
)";

constexpr const char* usage_wave =
    R"(Pauses or resumes the maintenance wave that is open.

Usage:
  waxwingnotch wave (pause | resume) --log=ADDRESS --author=NAME --reason=TEXT
  waxwingnotch wave --help

Options:
  --log=ADDRESS   ip:port of the platform's log
  --author=NAME   on whose authority; shown to auditors
  --reason=TEXT   why; shown to auditors
  --help          show this text

A paused wave takes out no further host; hosts that are out are finished. A wave that stopped itself
goes on after a resume, which accepts the trouble that the pause named. Without an open wave the
exit code is 4.
)";

}  // namespace waxwingnotch
