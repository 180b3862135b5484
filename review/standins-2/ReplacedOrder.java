/** The operator replaces the order of a bad version while its rollout is under way. */
final class ReplacedOrder {
  private ReplacedOrder() {}

  public static void main(String[] arguments) {
    Mesh.play(arguments, mesh -> new SecondOrder(mesh, true).play());
  }
}
