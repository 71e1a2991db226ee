import java.io.IOException;
import java.io.Reader;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Properties;

/** Reads the names of the platform's protocol. Stateless and thread-safe. */
final class Names {
  private static final Properties NAMES = load();

  private Names() {}

  private static Properties load() {
    Properties names = new Properties();
    try (Reader reader = Files.newBufferedReader(Path.of("review/lib/wire.properties"))) {
      names.load(reader);
      return names;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  static String of(String key) {
    String name = NAMES.getProperty(key);
    if (name == null) {
      throw new IllegalArgumentException("wire.properties has no name for " + key);
    }
    return name;
  }
}
