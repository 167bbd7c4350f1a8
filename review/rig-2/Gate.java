import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/**
 * A relay between one process and the store. While it is cut it passes nothing on and closes
 * nothing, like a partition; what it holds is passed on afterwards. Thread-safe.
 */
final class Gate implements AutoCloseable {

  private final String target;
  private final ServerSocket listener;
  private boolean cut;

  Gate(String host, String target) throws IOException {
    this.target = target;
    this.listener = new ServerSocket(0, 64, InetAddress.getByName(host));
    daemon(this::accept);
  }

  String address() {
    return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
  }

  synchronized void setCut(boolean newCut) {
    cut = newCut;
    notifyAll();
  }

  private synchronized void awaitOpen() throws InterruptedException {
    while (cut) {
      wait();
    }
  }

  private static void daemon(Runnable task) {
    var thread = new Thread(task, "gate");
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket from = listener.accept();
        daemon(() -> connect(from));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void connect(Socket from) {
    try {
      awaitOpen();
      int colon = target.lastIndexOf(':');
      var to =
          new Socket(target.substring(0, colon), Integer.parseInt(target.substring(colon + 1)));
      to.setTcpNoDelay(true);
      from.setTcpNoDelay(true);
      daemon(() -> pass(from, to));
      daemon(() -> pass(to, from));
    } catch (IOException | InterruptedException e) {
      close(from);
    }
  }

  private void pass(Socket from, Socket to) {
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      byte[] buffer = new byte[16_384];
      for (int length = in.read(buffer); length >= 0; length = in.read(buffer)) {
        awaitOpen();
        out.write(buffer, 0, length);
      }
      awaitOpen();
    } catch (IOException | InterruptedException e) {
      // One of the sides has closed the connection.
    }
    close(from);
    close(to);
  }

  private static void close(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // It is closed.
    }
  }

  @Override
  public void close() throws IOException {
    listener.close();
  }
}
