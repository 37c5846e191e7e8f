#include <iostream>

int main() {
    std::cout << "persimmonstiled " << PERSIMMONSTILE_VERSION << '\n';
}
