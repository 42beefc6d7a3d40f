"""x"""


def render_page(s):
    return ""
