package figdeck

/** Starts the command-line client. */
public fun main() {
    println("figdeck")
}
