#include "waxwingnotch/cli/cli.hpp"

int main(int argc, char** argv)
{
    return waxwingnotch::run_command_line({argv + 1, argv + argc});
}
