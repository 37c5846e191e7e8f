#include "cli/command_line.h"
#include "cli/command_list.h"

#include <iostream>

int main(int argc, char** argv) {
    const std::vector<std::string> words{argv + 1, argv + argc};
    return persimmonstile::run_command_line(persimmonstile::command_list(), words, {std::cout, std::cerr});
}
