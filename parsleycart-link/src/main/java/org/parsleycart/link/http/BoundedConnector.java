package org.parsleycart.link.http;

import static java.util.Objects.requireNonNull;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import java.io.IOException;
import java.net.SocketAddress;
import java.net.URI;
import java.util.concurrent.TimeUnit;
import org.xnio.ChannelListener;
import org.xnio.ChannelListeners;
import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;
import org.xnio.conduits.ConduitStreamSourceChannel;

/** Opens client connections whose response heads are bounded, all on one input/output thread. */
public final class BoundedConnector {
  /** A buffer of the pool. A response without end gets one in each pass of the event loop. */
  private static final int BYTES_PER_TURN = 16 * 1024;

  private final XnioIoThread thread;
  private final ByteBufferPool buffers;
  private final OptionMap options;
  private final GuardingThread guardingThread;

  // -- construction

  /**
   * Creates a connector.
   *
   * @param thread the thread of the connections
   * @param options the options of the connections
   */
  public BoundedConnector(XnioIoThread thread, ByteBufferPool buffers, OptionMap options) {
    this.thread = requireNonNull(thread, "thread is null");
    this.buffers = requireNonNull(buffers, "buffers is null");
    this.options = requireNonNull(options, "options is null");
    this.guardingThread = new GuardingThread();
  }

  // -- operations

  /**
   * Opens a connection.
   *
   * @param address the address as {@code host:port}
   * @param callback receives the connection on the thread of the connections
   */
  public void connect(String address, ClientCallback<BoundedConnection> callback) {
    UndertowClient.getInstance()
        .connect(
            new ClientCallback<>() {
              @Override
              public void completed(ClientConnection connection) {
                callback.completed(guardingThread.opened(connection));
              }

              @Override
              public void failed(IOException cause) {
                callback.failed(cause);
              }
            },
            URI.create("http://" + address + "/"),
            guardingThread,
            buffers,
            options);
  }

  /**
   * Stands in for the thread while connections are opened. The HTTP client offers no other place
   * for a conduit below its own.
   */
  private final class GuardingThread extends XnioIoThread {
    // The callback of a connection runs within its open listener, so that both see the same one.
    private StreamConnection stream;
    private TurnConduit turn;
    private BoundedResponseConduit responses;

    private GuardingThread() {
      super(thread.getWorker(), thread.getNumber());
    }

    /** Returns the connection that is being opened. */
    private BoundedConnection opened(ClientConnection connection) {
      return new BoundedConnection(connection, stream, turn, responses);
    }

    @Override
    public IoFuture<StreamConnection> openStreamConnection(
        SocketAddress destination,
        ChannelListener<? super StreamConnection> openListener,
        OptionMap optionMap) {
      return thread.openStreamConnection(
          destination,
          newStream -> {
            stream = newStream;
            turn = TurnConduit.install(newStream, BYTES_PER_TURN);
            ConduitStreamSourceChannel source = newStream.getSourceChannel();
            responses = new BoundedResponseConduit(source.getConduit());
            source.setConduit(responses);
            ChannelListeners.invokeChannelListener(newStream, openListener);
          },
          optionMap);
    }

    @Override
    public void execute(Runnable command) {
      thread.execute(command);
    }

    @Override
    public Key executeAfter(Runnable command, long time, TimeUnit unit) {
      return thread.executeAfter(command, time, unit);
    }

    @Override
    public Key executeAtInterval(Runnable command, long time, TimeUnit unit) {
      return thread.executeAtInterval(command, time, unit);
    }
  }
}
