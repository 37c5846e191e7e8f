#include <iostream>

int main() {
    std::cout << "persimmonstile " << PERSIMMONSTILE_VERSION << '\n';
}
